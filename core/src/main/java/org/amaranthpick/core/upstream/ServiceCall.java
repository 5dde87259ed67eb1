package org.amaranthpick.core.upstream;

import java.util.Map;
import org.amaranthpick.core.name.Identity;

/**
 * HTTP call to a service.
 *
 * @param requestId id of the request
 * @param workspace workspace of the caller
 * @param method HTTP method
 * @param path path relative to the service, with query, starting with a slash
 * @param headers headers to forward
 * @param body body; the array is not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record ServiceCall(
        String requestId,
        Identity workspace,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body) {}
