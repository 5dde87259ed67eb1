/**
 * Syntax of HTTP/1.1 responses after RFC 9112, checked byte by byte before a more lenient parser
 * reads them.
 */
package org.amaranthpick.server.http.response;
