package org.amaranthpick.server.gateway;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Digest of what repeats of a request have in common on all daemons: method, host, path with query,
 * caller and body. Ids and time limits differ from one repeat to the next.
 */
final class RequestDigest {
    private RequestDigest() {}

    /**
     * Returns the digest of a request.
     *
     * @param method HTTP method
     * @param host host that the caller named
     * @param requestTarget path and query
     * @param apiKey credential of the caller, empty string if it sent none
     * @param body request body
     * @return 32 hexadecimal digits
     */
    static String of(String method, String host, String requestTarget, String apiKey, byte[] body) {
        HashStream128 stream = Hashing.murmur3_128().hashStream();
        stream.putString(method).putString(host).putString(requestTarget).putString(apiKey);
        return stream.putByteArray(body).get().toString().replaceFirst("^0x", "");
    }
}
