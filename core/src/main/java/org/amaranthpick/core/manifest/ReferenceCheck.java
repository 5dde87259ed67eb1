package org.amaranthpick.core.manifest;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.manifest.ManifestDraft.Located;
import org.amaranthpick.core.manifest.ManifestDraft.Table;
import org.amaranthpick.core.name.Identity;

/**
 * Checks that references resolve and that the referring and referenced resources are compatible.
 */
final class ReferenceCheck {
    private final ManifestDraft mDraft;
    private final FaultList mFaults;

    ReferenceCheck(ManifestDraft draft, FaultList faults) {
        mDraft = draft;
        mFaults = faults;
    }

    void check() {
        for (Located<HostSpec> row : mDraft.mHosts.rows()) {
            resolve(mDraft.mDomains, row.spec().domain(), row.pointer() + "/domain");
        }
        mDraft.mUpstreams.rows().forEach(this::checkUpstream);
        for (Located<AdapterSpec> row : mDraft.mAdapters.rows()) {
            resolve(
                    mDraft.mModelVersions,
                    row.spec().modelVersion(),
                    row.pointer() + "/modelVersion");
        }
        mDraft.mPipelines.rows().forEach(this::checkPipeline);
        mDraft.mServices.rows().forEach(this::checkService);
        checkWorkspaces();
        checkLinks();
        checkRegions();
    }

    private void checkUpstream(Located<UpstreamSpec> row) {
        UpstreamSpec spec = row.spec();
        resolve(mDraft.mDomains, spec.domain(), row.pointer() + "/domain");
        spec.host().ifPresent(host -> checkHost(row, host));
        for (int i = 0; i < spec.initialHoldings().size(); i++) {
            UpstreamSpec.Holding holding = spec.initialHoldings().get(i);
            String pointer = row.pointer() + "/holds/" + i;
            resolve(mDraft.mModelVersions, holding.modelVersion(), pointer + "/modelVersion");
            checkAdapters(holding.adapters(), holding.modelVersion(), pointer + "/adapters");
        }
    }

    private void checkHost(Located<UpstreamSpec> row, Identity host) {
        String pointer = row.pointer() + "/host";
        HostSpec spec = resolve(mDraft.mHosts, host, pointer).orElse(null);
        if (spec != null && !spec.domain().equals(row.spec().domain())) {
            mFaults.add(
                    pointer,
                    ManifestFault.Kind.REFERENCE,
                    host.key()
                            + " is in "
                            + spec.domain().key()
                            + ", not in "
                            + row.spec().domain().key(),
                    "set the domain of the upstream to that of its host");
        }
    }

    private void checkAdapters(List<Identity> adapters, Identity modelVersion, String pointer) {
        for (int i = 0; i < adapters.size(); i++) {
            checkAdapter(adapters.get(i), modelVersion, pointer + "/" + i);
        }
    }

    private void checkAdapter(Identity adapter, Identity modelVersion, String pointer) {
        AdapterSpec spec = resolve(mDraft.mAdapters, adapter, pointer).orElse(null);
        if (spec != null && !spec.modelVersion().equals(modelVersion)) {
            mFaults.add(
                    pointer,
                    ManifestFault.Kind.REFERENCE,
                    adapter.key()
                            + " is for "
                            + spec.modelVersion().key()
                            + ", not for "
                            + modelVersion.key(),
                    "use an adapter of this model version");
        }
    }

    private void checkPipeline(Located<PipelineSpec> row) {
        PipelineSpec spec = row.spec();
        resolve(mDraft.mModelVersions, spec.modelVersion(), row.pointer() + "/modelVersion");
        spec.adapter()
                .ifPresent(
                        adapter ->
                                checkAdapter(
                                        adapter, spec.modelVersion(), row.pointer() + "/adapter"));
    }

    private void checkService(Located<ServiceSpec> row) {
        List<Identity> upstreams = row.spec().upstreams();
        if (upstreams.isEmpty()) {
            mFaults.add(
                    row.pointer() + "/upstreams",
                    ManifestFault.Kind.REFERENCE,
                    row.spec().id().key() + " has no upstream",
                    "list at least one upstream of role service");
        }
        for (int i = 0; i < upstreams.size(); i++) {
            String pointer = row.pointer() + "/upstreams/" + i;
            UpstreamSpec spec = resolve(mDraft.mUpstreams, upstreams.get(i), pointer).orElse(null);
            if (spec != null && spec.role() != UpstreamSpec.Role.SERVICE) {
                mFaults.add(
                        pointer,
                        ManifestFault.Kind.REFERENCE,
                        upstreams.get(i).key() + " is an engine",
                        "use an upstream of role service");
            }
        }
    }

    private void checkWorkspaces() {
        Map<String, Identity> owners = new HashMap<>();
        for (Located<WorkspaceSpec> row : mDraft.mWorkspaces.rows()) {
            WorkspaceSpec spec = row.spec();
            resolveAll(mDraft.mPipelines, spec.pipelines(), row.pointer() + "/pipelines");
            resolveAll(mDraft.mServices, spec.services(), row.pointer() + "/services");
            for (int i = 0; i < spec.credentialHashes().size(); i++) {
                String hash = spec.credentialHashes().get(i);
                Identity owner = owners.putIfAbsent(hash, spec.id());
                if (owner != null) {
                    mFaults.add(
                            row.pointer() + "/credentialHashes/" + i,
                            ManifestFault.Kind.CREDENTIAL,
                            "this credential hash is used by " + owner.key() + " already",
                            "use separate credentials for each workspace");
                }
            }
        }
    }

    private void checkLinks() {
        Map<Set<Identity>, LinkSpec> linksByEndpoints = new HashMap<>();
        for (Located<LinkSpec> row : mDraft.mLinks) {
            LinkSpec spec = row.spec();
            Table<?> table =
                    switch (spec.from().kind()) {
                        case UPSTREAM -> mDraft.mUpstreams;
                        default -> mDraft.mDomains;
                    };
            resolve(table, spec.from(), row.pointer() + "/from");
            resolve(table, spec.to(), row.pointer() + "/to");
            Set<Identity> endpoints = new HashSet<>(List.of(spec.from(), spec.to()).subList(0, 1));
            endpoints.add(spec.to());
            LinkSpec earlier = linksByEndpoints.putIfAbsent(endpoints, spec);
            if (earlier != null && !earlier.equals(spec)) {
                mFaults.add(
                        row.pointer(),
                        ManifestFault.Kind.LINK,
                        "the link between "
                                + spec.from().key()
                                + " and "
                                + spec.to().key()
                                + " is defined twice with different properties",
                        "a link is used in both directions; remove one of the two");
            }
        }
    }

    private void checkRegions() {
        for (Located<DomainSpec> row : mDraft.mDomains.rows()) {
            if (row.spec().region().isBlank()) {
                mFaults.add(
                        row.pointer() + "/region",
                        ManifestFault.Kind.VALUE,
                        row.spec().id().key() + " has no region",
                        "name the region that contains the domain");
            }
        }
    }

    private <T> void resolveAll(Table<T> table, List<Identity> ids, String pointer) {
        for (int i = 0; i < ids.size(); i++) {
            resolve(table, ids.get(i), pointer + "/" + i);
        }
    }

    private <T> Optional<T> resolve(Table<T> table, Identity id, String pointer) {
        if (!table.isDeclared(id)) {
            mFaults.add(
                    pointer,
                    ManifestFault.Kind.REFERENCE,
                    id.key() + " does not exist",
                    "define it, or write fleet/name to refer to another fleet");
        }
        return Optional.ofNullable(table.get(id));
    }
}
