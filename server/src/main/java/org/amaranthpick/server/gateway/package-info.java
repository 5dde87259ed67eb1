/**
 * Gateway: accepts requests from callers and forwards them unmodified to upstreams, following the
 * routes of the operator's configuration. Everything in this package runs on a single I/O thread.
 */
package org.amaranthpick.server.gateway;
