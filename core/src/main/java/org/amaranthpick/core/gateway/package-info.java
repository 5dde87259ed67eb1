/**
 * Forwarding of opaque requests: routes by host and path, what may be repeated, whose credential a
 * request bears, and what follows from the answer of an upstream.
 */
package org.amaranthpick.core.gateway;
