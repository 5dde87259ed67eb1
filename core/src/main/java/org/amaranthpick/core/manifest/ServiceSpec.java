package org.amaranthpick.core.manifest;

import java.util.List;
import org.amaranthpick.core.name.Identity;

/**
 * HTTP service without a model, served by one or more instances.
 *
 * @param id identity of kind SERVICE
 * @param upstreams service instances: upstreams of role SERVICE
 * @param nonIdempotent patterns of the calls that must not run twice
 */
public record ServiceSpec(Identity id, List<Identity> upstreams, List<CallPattern> nonIdempotent) {

    /**
     * Pattern that matches calls by method and path.
     *
     * @param method HTTP method, or {@code *} for any
     * @param pathPrefix prefix of the path relative to the service
     */
    public record CallPattern(String method, String pathPrefix) {
        /**
         * Returns whether a call matches.
         *
         * @param callMethod HTTP method of the call
         * @param callPath path relative to the service
         * @return true if method and path match
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
     * Returns whether a call must not run twice.
     *
     * @param method HTTP method
     * @param path path relative to the service
     * @return true if a pattern matches
     */
    public boolean isNonIdempotent(String method, String path) {
        return nonIdempotent.stream().anyMatch(pattern -> pattern.matches(method, path));
    }
}
