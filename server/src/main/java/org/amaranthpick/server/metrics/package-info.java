/** Prometheus metrics of the daemon. */
package org.amaranthpick.server.metrics;
