package org.amaranthpick.core.upstream;

import java.util.Map;
import org.amaranthpick.core.name.Identity;

/**
 * Call of a plain service.
 *
 * @param requestId id of the request
 * @param workspace workspace that calls
 * @param method HTTP method
 * @param path path below the service with its query, starting with a slash
 * @param headers headers passed on
 * @param body body bytes, not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record ServiceCall(
        String requestId,
        Identity workspace,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body) {}
