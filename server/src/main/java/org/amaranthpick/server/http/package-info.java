/**
 * Outgoing HTTP/1.1 calls on Undertow's client: bounded pools, exact knowledge of what was sent.
 */
package org.amaranthpick.server.http;
