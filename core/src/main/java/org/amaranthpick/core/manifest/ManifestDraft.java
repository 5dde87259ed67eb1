package org.amaranthpick.core.manifest;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.amaranthpick.core.name.Identity;

/** Resources read from a document, with the place of each; not yet checked against each other. */
final class ManifestDraft {
    final Set<String> mFleets = new LinkedHashSet<>();
    final Table<DomainSpec> mDomains = new Table<>();
    final Table<HostSpec> mHosts = new Table<>();
    final Table<UpstreamSpec> mUpstreams = new Table<>();
    final Table<ModelVersionSpec> mModelVersions = new Table<>();
    final Table<AdapterSpec> mAdapters = new Table<>();
    final Table<PipelineSpec> mPipelines = new Table<>();
    final Table<WorkspaceSpec> mWorkspaces = new Table<>();
    final Table<ServiceSpec> mServices = new Table<>();
    final List<Placed<LinkSpec>> mLinks = new ArrayList<>();
    final Map<String, Placed<WeightStoreSpec>> mWeightStores = new TreeMap<>();

    /**
     * Resource with its place.
     *
     * @param spec resource
     * @param pointer JSON pointer
     */
    record Placed<T>(T spec, String pointer) {}

    /** Resources of one kind by identity. */
    static final class Table<T> {
        private final Map<Identity, Placed<T>> mRows = new TreeMap<>();
        private final Set<Identity> mFaulty = new HashSet<>();

        /** Adds a resource; returns the pointer of another one that differs, or null. */
        String add(Identity id, T spec, String pointer) {
            Placed<T> earlier = mRows.putIfAbsent(id, new Placed<>(spec, pointer));
            return earlier == null || earlier.spec().equals(spec) ? null : earlier.pointer();
        }

        /** Notes a resource that has faults, so that references to it are not faults too. */
        void addFaulty(Identity id) {
            mFaulty.add(id);
        }

        /** Tells whether a resource stands in the document, faulty or not. */
        boolean mentions(Identity id) {
            return mRows.containsKey(id) || mFaulty.contains(id);
        }

        T get(Identity id) {
            Placed<T> row = mRows.get(id);
            return row == null ? null : row.spec();
        }

        Iterable<Placed<T>> rows() {
            return mRows.values();
        }

        List<T> specs() {
            return mRows.values().stream().map(Placed::spec).toList();
        }

        Map<Identity, T> byId() {
            Map<Identity, T> specs = new TreeMap<>();
            mRows.forEach((id, row) -> specs.put(id, row.spec()));
            return specs;
        }
    }

    Manifest toManifest() {
        return new Manifest(
                mFleets.stream().sorted().toList(),
                mDomains.specs(),
                sortedLinks(),
                mHosts.specs(),
                mWeightStores.values().stream().map(Placed::spec).toList(),
                mUpstreams.specs(),
                mModelVersions.specs(),
                mAdapters.specs(),
                mPipelines.specs(),
                mWorkspaces.specs(),
                mServices.specs());
    }

    private List<LinkSpec> sortedLinks() {
        Function<LinkSpec, String> key = link -> link.from().key() + " " + link.to().key();
        Map<String, LinkSpec> byKey = new TreeMap<>();
        mLinks.forEach(link -> byKey.put(key.apply(link.spec()), link.spec()));
        return List.copyOf(byKey.values());
    }
}
