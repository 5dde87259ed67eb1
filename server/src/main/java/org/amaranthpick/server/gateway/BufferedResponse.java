package org.amaranthpick.server.gateway;

import io.undertow.util.HeaderMap;

/** Whole response of an upstream, kept while another upstream is tried. */
@SuppressWarnings("ArrayRecordComponent")
record BufferedResponse(int status, HeaderMap headers, byte[] body) {}
