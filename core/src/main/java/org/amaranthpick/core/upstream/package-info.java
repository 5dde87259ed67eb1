/** Client interface for upstreams: streams, service calls, status, orders and cache events. */
package org.amaranthpick.core.upstream;
