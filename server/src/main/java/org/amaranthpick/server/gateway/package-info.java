/**
 * Gateway: takes requests of callers and forwards them to upstreams, byte for byte, by the routes
 * of the operator's configuration. All of it runs on one I/O thread.
 */
package org.amaranthpick.server.gateway;
