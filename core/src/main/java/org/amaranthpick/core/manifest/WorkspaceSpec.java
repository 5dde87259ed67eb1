package org.amaranthpick.core.manifest;

import java.util.List;
import org.amaranthpick.core.name.Identity;

/**
 * Workspace: a tenant with its credentials and limits.
 *
 * @param id identity of kind WORKSPACE
 * @param credentialHashes SHA-256 hashes of the accepted credentials, in lower-case hexadecimal
 * @param limits limits on the requests of the workspace
 * @param weight weight in the fair sharing of capacity between workspaces, 1 or more
 * @param pipelines pipelines that the workspace may call
 * @param services services that the workspace may call
 */
public record WorkspaceSpec(
        Identity id,
        List<String> credentialHashes,
        Limits limits,
        int weight,
        List<Identity> pipelines,
        List<Identity> services) {

    /**
     * Limits of a workspace, summed over all daemons.
     *
     * @param requestsPerSecond maximum number of requests admitted per second
     * @param tokensPerSecond maximum number of prompt and generated tokens per second
     * @param concurrentRequests maximum number of requests in progress
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
