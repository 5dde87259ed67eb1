package org.amaranthpick.server.gateway;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.amaranthpick.core.gateway.UpstreamVerdict;
import org.amaranthpick.core.register.UpstreamAdmission;

/** Translates between the HTTP headers of a platform and the types of the gateway. */
public interface GatewayDialect {
    /**
     * Parses the headers of a caller's request.
     *
     * @param headers request headers
     * @return metadata; a malformed value is treated as absent
     */
    CallerRequestMetadata readCallerRequest(HeaderMap headers);

    /**
     * Builds the headers of the request to an upstream.
     *
     * @param headers request headers from the caller
     * @param metadata values to pass to the upstream
     * @return headers without Content-Length
     */
    Map<String, String> upstreamHeaders(HeaderMap headers, UpstreamRequestMetadata metadata);

    /**
     * Classifies an upstream's response by its status and headers.
     *
     * @param status HTTP status
     * @param headers response headers
     * @param requestId id of the request that was sent
     * @return outcome of the request at the upstream
     */
    UpstreamVerdict classifyResponse(int status, HeaderMap headers, String requestId);

    /**
     * Returns the rate of requests that an upstream takes from all daemons, as its response names
     * it.
     *
     * @param headers response headers
     * @return requests per second, empty if it names none or the value is malformed
     */
    OptionalDouble readRequestLimit(HeaderMap headers);

    /**
     * Returns whether an upstream says in its response that it is leaving.
     *
     * @param headers response headers
     * @return false if it does not, or the value is malformed
     */
    boolean readLeaving(HeaderMap headers);

    /**
     * Returns the time for which an upstream that turns a request away wants no more.
     *
     * @param status HTTP status
     * @param headers response headers
     * @return time, the longest if there are several; empty if it asks for none, the value is
     *     malformed, or the response does not turn a request away
     */
    Optional<Duration> readPause(int status, HeaderMap headers);

    /**
     * Returns what a response says beside its content.
     *
     * @param status HTTP status
     * @param headers response headers
     * @return what it says
     */
    default UpstreamAdmission.Notice readNotice(int status, HeaderMap headers) {
        return new UpstreamAdmission.Notice(
                readLeaving(headers), readPause(status, headers), readRequestLimit(headers));
    }

    /**
     * Returns whether a header of an upstream's response is forwarded to the caller.
     *
     * @param name name of the header
     * @return false for hop-by-hop headers and headers that describe the framing of the body
     */
    boolean isForwardedToCaller(HttpString name);

    /**
     * Sets the request id in a response that the gateway generates itself.
     *
     * @param response response headers
     * @param requestId id of the request
     */
    void setRequestId(HeaderMap response, String requestId);
}
