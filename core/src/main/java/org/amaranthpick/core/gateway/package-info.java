/**
 * Rules for forwarding opaque requests: routes by host and path, credentials, choice of upstreams,
 * retries, timeouts, and the meaning of upstream responses.
 */
package org.amaranthpick.core.gateway;
