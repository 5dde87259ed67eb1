package org.amaranthpick.server.gateway;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Map;
import org.amaranthpick.core.gateway.UpstreamVerdict;

/** How callers and upstreams of a platform express themselves in headers. */
public interface GatewayDialect {
    /**
     * Reads the head of a caller's request.
     *
     * @param headers request headers
     * @return facts; a malformed value counts as not sent
     */
    CallerFacts read(HeaderMap headers);

    /**
     * Writes the headers for an upstream.
     *
     * @param headers request headers of the caller
     * @param terms what the upstream is told
     * @return headers beside Content-Length
     */
    Map<String, String> toUpstream(HeaderMap headers, UpstreamTerms terms);

    /**
     * Judges the head of an upstream's answer.
     *
     * @param status HTTP status
     * @param headers response headers
     * @param requestId id of the request it should answer
     * @return what it says about the request
     */
    UpstreamVerdict verdict(int status, HeaderMap headers, String requestId);

    /**
     * Tells whether a header of an upstream's answer is passed on to the caller.
     *
     * @param name name of the header
     * @return false for headers that concern one connection or the body's framing
     */
    boolean passedToCaller(HttpString name);

    /**
     * Names the request in an answer of the daemon's own.
     *
     * @param response response headers
     * @param requestId id of the request
     */
    void nameRequest(HeaderMap response, String requestId);
}
