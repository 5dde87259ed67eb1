package org.amaranthpick.core.manifest;

import java.util.List;
import org.amaranthpick.core.name.Identity;

/**
 * Plain service.
 *
 * @param id identity of kind SERVICE
 * @param upstreams upstreams of role SERVICE that answer for it
 * @param nonIdempotent calls that must not run twice
 */
public record ServiceSpec(Identity id, List<Identity> upstreams, List<CallPattern> nonIdempotent) {

    /**
     * Pattern of calls.
     *
     * @param method HTTP method, or {@code *}
     * @param pathPrefix start of the path below the service
     */
    public record CallPattern(String method, String pathPrefix) {
        /**
         * Tells whether a call matches.
         *
         * @param callMethod HTTP method of the call
         * @param callPath path below the service
         * @return true if both parts match
         */
        public boolean matches(String callMethod, String callPath) {
            boolean methodMatches = method.equals("*") || method.equalsIgnoreCase(callMethod);
            return methodMatches && callPath.startsWith(pathPrefix);
        }
    }

    /** Copies the lists. */
    public ServiceSpec {
        upstreams = List.copyOf(upstreams);
        nonIdempotent = List.copyOf(nonIdempotent);
    }

    /**
     * Tells whether a call must not run twice.
     *
     * @param method HTTP method
     * @param path path below the service
     * @return true if a pattern matches
     */
    public boolean isNonIdempotent(String method, String path) {
        return nonIdempotent.stream().anyMatch(pattern -> pattern.matches(method, path));
    }
}
