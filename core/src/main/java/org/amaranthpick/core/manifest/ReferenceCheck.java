package org.amaranthpick.core.manifest;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.manifest.ManifestDraft.Placed;
import org.amaranthpick.core.manifest.ManifestDraft.Table;
import org.amaranthpick.core.name.Identity;

/** Checks that references resolve and that the resources at both ends fit each other. */
final class ReferenceCheck {
    private final ManifestDraft mDraft;
    private final FaultList mFaults;

    ReferenceCheck(ManifestDraft draft, FaultList faults) {
        mDraft = draft;
        mFaults = faults;
    }

    void check() {
        for (Placed<HostSpec> row : mDraft.mHosts.rows()) {
            resolve(mDraft.mDomains, row.spec().domain(), row.pointer() + "/domain");
        }
        mDraft.mUpstreams.rows().forEach(this::checkUpstream);
        for (Placed<AdapterSpec> row : mDraft.mAdapters.rows()) {
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

    private void checkUpstream(Placed<UpstreamSpec> row) {
        UpstreamSpec spec = row.spec();
        resolve(mDraft.mDomains, spec.domain(), row.pointer() + "/domain");
        spec.host().ifPresent(host -> checkHost(row, host));
        for (int i = 0; i < spec.initial().size(); i++) {
            UpstreamSpec.Holding holding = spec.initial().get(i);
            String at = row.pointer() + "/holds/" + i;
            resolve(mDraft.mModelVersions, holding.modelVersion(), at + "/modelVersion");
            checkAdapters(holding.adapters(), holding.modelVersion(), at + "/adapters");
        }
    }

    private void checkHost(Placed<UpstreamSpec> row, Identity host) {
        String at = row.pointer() + "/host";
        HostSpec spec = resolve(mDraft.mHosts, host, at).orElse(null);
        if (spec != null && !spec.domain().equals(row.spec().domain())) {
            mFaults.add(
                    at,
                    ManifestFault.Kind.REFERENCE,
                    host.key()
                            + " stands in "
                            + spec.domain().key()
                            + ", not in "
                            + row.spec().domain().key(),
                    "give the upstream its host's domain");
        }
    }

    private void checkAdapters(List<Identity> adapters, Identity modelVersion, String at) {
        for (int i = 0; i < adapters.size(); i++) {
            checkAdapter(adapters.get(i), modelVersion, at + "/" + i);
        }
    }

    private void checkAdapter(Identity adapter, Identity modelVersion, String at) {
        AdapterSpec spec = resolve(mDraft.mAdapters, adapter, at).orElse(null);
        if (spec != null && !spec.modelVersion().equals(modelVersion)) {
            mFaults.add(
                    at,
                    ManifestFault.Kind.REFERENCE,
                    adapter.key()
                            + " is for "
                            + spec.modelVersion().key()
                            + ", not for "
                            + modelVersion.key(),
                    "name an adapter of this model version");
        }
    }

    private void checkPipeline(Placed<PipelineSpec> row) {
        PipelineSpec spec = row.spec();
        resolve(mDraft.mModelVersions, spec.modelVersion(), row.pointer() + "/modelVersion");
        spec.adapter()
                .ifPresent(a -> checkAdapter(a, spec.modelVersion(), row.pointer() + "/adapter"));
    }

    private void checkService(Placed<ServiceSpec> row) {
        List<Identity> upstreams = row.spec().upstreams();
        if (upstreams.isEmpty()) {
            mFaults.add(
                    row.pointer() + "/upstreams",
                    ManifestFault.Kind.REFERENCE,
                    row.spec().id().key() + " has no upstream",
                    "name at least one upstream of role service");
        }
        for (int i = 0; i < upstreams.size(); i++) {
            String at = row.pointer() + "/upstreams/" + i;
            UpstreamSpec spec = resolve(mDraft.mUpstreams, upstreams.get(i), at).orElse(null);
            if (spec != null && spec.role() != UpstreamSpec.Role.SERVICE) {
                mFaults.add(
                        at,
                        ManifestFault.Kind.REFERENCE,
                        upstreams.get(i).key() + " is an engine",
                        "name an upstream of role service");
            }
        }
    }

    private void checkWorkspaces() {
        Map<String, Identity> owners = new HashMap<>();
        for (Placed<WorkspaceSpec> row : mDraft.mWorkspaces.rows()) {
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
                            "this credential hash stands in " + owner.key() + " already",
                            "give each workspace credentials of its own");
                }
            }
        }
    }

    private void checkLinks() {
        Map<Set<Identity>, LinkSpec> seen = new HashMap<>();
        for (Placed<LinkSpec> row : mDraft.mLinks) {
            LinkSpec spec = row.spec();
            Table<?> table =
                    switch (spec.from().kind()) {
                        case UPSTREAM -> mDraft.mUpstreams;
                        default -> mDraft.mDomains;
                    };
            resolve(table, spec.from(), row.pointer() + "/from");
            resolve(table, spec.to(), row.pointer() + "/to");
            Set<Identity> ends = new HashSet<>(List.of(spec.from(), spec.to()).subList(0, 1));
            ends.add(spec.to());
            LinkSpec earlier = seen.putIfAbsent(ends, spec);
            if (earlier != null && !earlier.equals(spec)) {
                mFaults.add(
                        row.pointer(),
                        ManifestFault.Kind.LINK,
                        "the link between "
                                + spec.from().key()
                                + " and "
                                + spec.to().key()
                                + " stands twice",
                        "a link is used in both directions; keep one of the two");
            }
        }
    }

    private void checkRegions() {
        for (Placed<DomainSpec> row : mDraft.mDomains.rows()) {
            if (row.spec().region().isBlank()) {
                mFaults.add(
                        row.pointer() + "/region",
                        ManifestFault.Kind.VALUE,
                        row.spec().id().key() + " has no region",
                        "name the region that the domain stands in");
            }
        }
    }

    private <T> void resolveAll(Table<T> table, List<Identity> ids, String at) {
        for (int i = 0; i < ids.size(); i++) {
            resolve(table, ids.get(i), at + "/" + i);
        }
    }

    private <T> Optional<T> resolve(Table<T> table, Identity id, String at) {
        if (!table.mentions(id)) {
            mFaults.add(
                    at,
                    ManifestFault.Kind.REFERENCE,
                    id.key() + " does not exist",
                    "define it, or write fleet/name for one of another fleet");
        }
        return Optional.ofNullable(table.get(id));
    }
}
