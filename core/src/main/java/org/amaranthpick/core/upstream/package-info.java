/** Upstreams as the router sees them: streams, calls, status and orders. */
package org.amaranthpick.core.upstream;
