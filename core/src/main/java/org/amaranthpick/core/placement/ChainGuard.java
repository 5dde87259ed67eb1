package org.amaranthpick.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Refuses orders that would take a pipeline's last working chain. Owners of different shards act at
 * once on views that lag; so a domain relies only on its own engines and on domains that rank above
 * it for the model version. The highest-ranked domain that takes layers away then leaves a chain
 * that no lower-ranked one can break.
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
     * @param keeps ranges of the model version that the engine keeps while it changes
     * @param held engines that are held back from routing, or changing, already
     * @return true if a chain is left, or there is none to lose
     */
    boolean allows(
            ModelVersionSpec model, Identity engine, List<LayerRange> keeps, Set<Identity> held) {
        List<LayerRange> known = new ArrayList<>();
        List<LayerRange> left = new ArrayList<>(keeps);
        for (EngineSurvey.Entry entry : mSurvey.entries().values()) {
            Identity id = entry.spec().id();
            List<LayerRange> ranges = ranges(entry, model.id());
            known.addAll(ranges);
            boolean stays = entry.usable() && !held.contains(id) && !id.equals(engine);
            if (stays && reliesOn(model.id(), entry.spec().domain())) {
                left.addAll(ranges);
            }
        }
        int layers = model.layers();
        if (ChainCover.isChain(layers, known)) {
            return ChainCover.isChain(layers, left);
        }
        return !ChainCover.isCovered(layers, known) || ChainCover.isCovered(layers, left);
    }

    private boolean reliesOn(Identity model, Identity domain) {
        return domain.equals(mDomain)
                || DomainRank.of(model, domain) > DomainRank.of(model, mDomain);
    }

    private static List<LayerRange> ranges(EngineSurvey.Entry entry, Identity model) {
        return entry.held().stream()
                .filter(holding -> holding.modelVersion().equals(model))
                .map(UpstreamSpec.Holding::layers)
                .toList();
    }
}
