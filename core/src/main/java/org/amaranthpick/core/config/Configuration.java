package org.amaranthpick.core.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.amaranthpick.core.manifest.AdapterSpec;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.PipelineSpec;
import org.amaranthpick.core.manifest.ServiceSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;

/** Accepted generation of the configuration, indexed by identity. Immutable. */
public final class Configuration {
    private final long mGeneration;
    private final String mDigest;
    private final Manifest mManifest;
    private final Map<Identity, DomainSpec> mDomains;
    private final Map<Identity, UpstreamSpec> mUpstreams;
    private final Map<Identity, ModelVersionSpec> mModelVersions;
    private final Map<Identity, AdapterSpec> mAdapters;
    private final Map<Identity, PipelineSpec> mPipelines;
    private final Map<Identity, WorkspaceSpec> mWorkspaces;
    private final Map<Identity, ServiceSpec> mServices;
    private final Map<String, WorkspaceSpec> mWorkspaceByCredentialHash = new HashMap<>();

    /**
     * Creates the indexes of a valid manifest.
     *
     * @param generation generation number, 1 or more
     * @param digest digest of the content
     * @param manifest valid manifest
     */
    public Configuration(long generation, String digest, Manifest manifest) {
        mGeneration = generation;
        mDigest = digest;
        mManifest = manifest;
        mDomains = index(manifest.domains(), DomainSpec::id);
        mUpstreams = index(manifest.upstreams(), UpstreamSpec::id);
        mModelVersions = index(manifest.modelVersions(), ModelVersionSpec::id);
        mAdapters = index(manifest.adapters(), AdapterSpec::id);
        mPipelines = index(manifest.pipelines(), PipelineSpec::id);
        mWorkspaces = index(manifest.workspaces(), WorkspaceSpec::id);
        mServices = index(manifest.services(), ServiceSpec::id);
        for (WorkspaceSpec workspace : manifest.workspaces()) {
            workspace.credentialHashes().forEach(h -> mWorkspaceByCredentialHash.put(h, workspace));
        }
    }

    /**
     * Returns the generation number.
     *
     * @return 1 or more
     */
    public long generation() {
        return mGeneration;
    }

    /**
     * Returns the digest of the content.
     *
     * @return lower-case hex
     */
    public String digest() {
        return mDigest;
    }

    /**
     * Returns the manifest.
     *
     * @return valid manifest
     */
    public Manifest manifest() {
        return mManifest;
    }

    /**
     * Finds a domain.
     *
     * @param id identity of kind DOMAIN
     * @return the domain, if configured
     */
    public Optional<DomainSpec> domain(Identity id) {
        return Optional.ofNullable(mDomains.get(id));
    }

    /**
     * Finds an upstream.
     *
     * @param id identity of kind UPSTREAM
     * @return the upstream, if configured
     */
    public Optional<UpstreamSpec> upstream(Identity id) {
        return Optional.ofNullable(mUpstreams.get(id));
    }

    /**
     * Finds a model version.
     *
     * @param id identity of kind MODEL_VERSION
     * @return the model version, if configured
     */
    public Optional<ModelVersionSpec> modelVersion(Identity id) {
        return Optional.ofNullable(mModelVersions.get(id));
    }

    /**
     * Finds an adapter.
     *
     * @param id identity of kind ADAPTER
     * @return the adapter, if configured
     */
    public Optional<AdapterSpec> adapter(Identity id) {
        return Optional.ofNullable(mAdapters.get(id));
    }

    /**
     * Finds a pipeline.
     *
     * @param id identity of kind PIPELINE
     * @return the pipeline, if configured
     */
    public Optional<PipelineSpec> pipeline(Identity id) {
        return Optional.ofNullable(mPipelines.get(id));
    }

    /**
     * Finds a workspace.
     *
     * @param id identity of kind WORKSPACE
     * @return the workspace, if configured
     */
    public Optional<WorkspaceSpec> workspace(Identity id) {
        return Optional.ofNullable(mWorkspaces.get(id));
    }

    /**
     * Finds a service.
     *
     * @param id identity of kind SERVICE
     * @return the service, if configured
     */
    public Optional<ServiceSpec> service(Identity id) {
        return Optional.ofNullable(mServices.get(id));
    }

    /**
     * Finds the workspace that a credential belongs to.
     *
     * @param credentialHash SHA-256 of the credential, lower-case hex
     * @return the workspace, if a hash matches
     */
    public Optional<WorkspaceSpec> workspaceByCredentialHash(String credentialHash) {
        return Optional.ofNullable(mWorkspaceByCredentialHash.get(credentialHash));
    }

    private static <T> Map<Identity, T> index(Iterable<T> items, Function<T, Identity> id) {
        Map<Identity, T> byId = new HashMap<>();
        items.forEach(item -> byId.put(id.apply(item), item));
        return byId;
    }
}
