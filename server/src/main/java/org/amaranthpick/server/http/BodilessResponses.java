package org.amaranthpick.server.http;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Protocols;
import io.undertow.util.StatusCodes;

/** Responses that end with their head because of their status. */
final class BodilessResponses {
    private static final String NO_BYTES = "0";

    private BodilessResponses() {}

    /**
     * Returns whether a response has no body although the library would wait for one. What the
     * library would take for it belongs to no response.
     */
    static boolean endsUnread(ClientResponse response) {
        int status = response.getResponseCode();
        return (status == StatusCodes.NO_CONTENT || status == StatusCodes.NOT_MODIFIED)
                && !isReadAsEmpty(response);
    }

    private static boolean isReadAsEmpty(ClientResponse response) {
        HeaderMap headers = response.getResponseHeaders();
        String length = headers.getFirst(Headers.CONTENT_LENGTH);
        return Protocols.HTTP_1_1.equals(response.getProtocol())
                && !headers.contains(Headers.CONNECTION)
                && !headers.contains(Headers.TRANSFER_ENCODING)
                && (length == null || length.equals(NO_BYTES));
    }
}
