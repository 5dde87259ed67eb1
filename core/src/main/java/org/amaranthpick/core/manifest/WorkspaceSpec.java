package org.amaranthpick.core.manifest;

import java.util.List;
import org.amaranthpick.core.name.Identity;

/**
 * Workspace: a tenant with its credentials and limits.
 *
 * @param id identity of kind WORKSPACE
 * @param credentialHashes SHA-256 of each accepted credential, lower-case hex
 * @param limits limits over the whole system
 * @param weight share between workspaces under contention, 1 or more
 * @param pipelines pipelines it may call
 * @param services services it may call
 */
public record WorkspaceSpec(
        Identity id,
        List<String> credentialHashes,
        Limits limits,
        int weight,
        List<Identity> pipelines,
        List<Identity> services) {

    /**
     * Limits of a workspace over all daemons together.
     *
     * @param requestsPerSecond requests admitted per second
     * @param tokensPerSecond prompt and generated tokens per second
     * @param concurrentRequests requests in progress at once
     */
    public record Limits(
            double requestsPerSecond, double tokensPerSecond, int concurrentRequests) {}

    /** Copies the lists. */
    public WorkspaceSpec {
        credentialHashes = List.copyOf(credentialHashes);
        pipelines = List.copyOf(pipelines);
        services = List.copyOf(services);
    }
}
