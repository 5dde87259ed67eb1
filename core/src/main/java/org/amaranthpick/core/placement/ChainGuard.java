package org.amaranthpick.core.placement;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Rejects orders that would break the last working chain of a model version. Owners of different
 * shards act concurrently on views that may be outdated. Therefore a domain that has a chain, on
 * its own or together with the domains that rank above it for the model version, must keep one
 * there. The changes of the highest-ranked domain then leave a chain that no lower-ranked domain
 * can break. A domain without such a chain may change an engine if a chain remains anywhere.
 */
final class ChainGuard {
    private final EngineSnapshot mSnapshot;
    private final Identity mDomain;

    ChainGuard(EngineSnapshot snapshot, Identity domain) {
        mSnapshot = snapshot;
        mDomain = domain;
    }

    /**
     * Returns whether a chain of a model version remains while an engine changes.
     *
     * @param model model version
     * @param engine engine to be changed
     * @param held engines that are already held from routing or changing
     * @return true if a chain remains, or if there is none at present
     */
    boolean allowsChange(ModelVersionSpec model, Identity engine, Set<Identity> held) {
        Set<Identity> removed = new HashSet<>(held);
        removed.add(engine);
        Predicate<EngineSnapshot.Entry> reliable = e -> reliesOn(model.id(), e.spec().domain());
        Predicate<EngineSnapshot.Entry> remaining =
                e -> e.isUsable() && !removed.contains(e.spec().id());
        if (mustKeepOwnChain(model)) {
            return preservesChain(
                    model, ranges(model, reliable), ranges(model, reliable.and(remaining)));
        }
        return preservesChain(model, ranges(model, e -> true), ranges(model, remaining));
    }

    /**
     * Returns whether this domain, together with those ranked above it, has a chain that it must
     * keep.
     */
    boolean mustKeepOwnChain(ModelVersionSpec model) {
        Collection<LayerRange> relied = ranges(model, e -> reliesOn(model.id(), e.spec().domain()));
        return ChainCover.isCovered(model.layers(), relied);
    }

    private static boolean preservesChain(
            ModelVersionSpec model, Collection<LayerRange> before, Collection<LayerRange> after) {
        int layers = model.layers();
        if (ChainCover.isChain(layers, before)) {
            return ChainCover.isChain(layers, after);
        }
        return !ChainCover.isCovered(layers, before) || ChainCover.isCovered(layers, after);
    }

    private boolean reliesOn(Identity model, Identity domain) {
        return domain.equals(mDomain)
                || DomainRank.of(model, domain) > DomainRank.of(model, mDomain);
    }

    private Collection<LayerRange> ranges(
            ModelVersionSpec model, Predicate<EngineSnapshot.Entry> filter) {
        return mSnapshot.entries().values().stream()
                .filter(filter)
                .flatMap(entry -> entry.holdings().stream())
                .filter(holding -> holding.modelVersion().equals(model.id()))
                .map(UpstreamSpec.Holding::layers)
                .toList();
    }
}
