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
 * Refuses orders that would take a pipeline's last working chain. Owners of different shards act at
 * once on views that lag; so a domain that has a chain of its own, or together with domains that
 * rank above it for the model version, keeps one there. The highest-ranked domain that takes layers
 * away then leaves a chain that no lower-ranked one can break. A domain without such a chain may
 * change an engine if any chain is left elsewhere.
 */
final class ChainGuard {
    private final EngineSurvey mSurvey;
    private final Identity mDomain;

    ChainGuard(EngineSurvey survey, Identity domain) {
        mSurvey = survey;
        mDomain = domain;
    }

    /**
     * Tells whether a chain of a model version is left without some engines.
     *
     * @param model model version
     * @param engine engine that is to change
     * @param held engines that are held back from routing, or changing, already
     * @return true if a chain is left, or there is none to lose
     */
    boolean allows(ModelVersionSpec model, Identity engine, Set<Identity> held) {
        Set<Identity> gone = new HashSet<>(held);
        gone.add(engine);
        Predicate<EngineSurvey.Entry> relied = e -> reliesOn(model.id(), e.spec().domain());
        Predicate<EngineSurvey.Entry> left = e -> e.usable() && !gone.contains(e.spec().id());
        if (keepsOwnChain(model)) {
            return keepsChain(model, ranges(model, relied), ranges(model, relied.and(left)));
        }
        return keepsChain(model, ranges(model, e -> true), ranges(model, left));
    }

    /** Tells whether this domain, with those above it, has a chain that it must keep. */
    boolean keepsOwnChain(ModelVersionSpec model) {
        Collection<LayerRange> known = ranges(model, e -> reliesOn(model.id(), e.spec().domain()));
        return ChainCover.isCovered(model.layers(), known);
    }

    private static boolean keepsChain(
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
            ModelVersionSpec model, Predicate<EngineSurvey.Entry> filter) {
        return mSurvey.entries().values().stream()
                .filter(filter)
                .flatMap(entry -> entry.held().stream())
                .filter(holding -> holding.modelVersion().equals(model.id()))
                .map(UpstreamSpec.Holding::layers)
                .toList();
    }
}
