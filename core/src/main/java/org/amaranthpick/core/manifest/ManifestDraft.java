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

/**
 * Resources read from a document with the JSON pointer of each; references between them are not yet
 * checked.
 */
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
    final List<Located<LinkSpec>> mLinks = new ArrayList<>();
    final Map<String, Located<WeightStoreSpec>> mWeightStores = new TreeMap<>();

    /**
     * Resource with its location in the document.
     *
     * @param spec resource
     * @param pointer JSON pointer of the resource
     */
    record Located<T>(T spec, String pointer) {}

    /** Resources of one kind by identity. */
    static final class Table<T> {
        private final Map<Identity, Located<T>> mRows = new TreeMap<>();
        private final Set<Identity> mFaultyIds = new HashSet<>();

        /**
         * Adds a resource. Returns null, or the pointer of an earlier resource that has the same
         * identity and different content.
         */
        String add(Identity id, T spec, String pointer) {
            Located<T> earlier = mRows.putIfAbsent(id, new Located<>(spec, pointer));
            return earlier == null || earlier.spec().equals(spec) ? null : earlier.pointer();
        }

        /** Records a resource with faults, so that references to it are not reported as well. */
        void addFaultyId(Identity id) {
            mFaultyIds.add(id);
        }

        /** Returns whether the document declares a resource, valid or faulty. */
        boolean isDeclared(Identity id) {
            return mRows.containsKey(id) || mFaultyIds.contains(id);
        }

        T get(Identity id) {
            Located<T> row = mRows.get(id);
            return row == null ? null : row.spec();
        }

        Iterable<Located<T>> rows() {
            return mRows.values();
        }

        List<T> specs() {
            return mRows.values().stream().map(Located::spec).toList();
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
                mWeightStores.values().stream().map(Located::spec).toList(),
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
