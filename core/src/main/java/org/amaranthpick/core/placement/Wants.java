package org.amaranthpick.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthpick.core.name.Identity;

/** Throughput wanted of each model version, in all and per domain. */
final class Wants {
    private static final double HEADROOM = 1.3;
    private static final double LEAST_TOKENS_PER_SECOND = 1;

    private final Homes mHomes;
    private final List<ModelNeed> mModels;
    private final Map<Identity, Double> mCapacity = new HashMap<>();

    Wants(PlanInput input) {
        mModels = input.models();
        mHomes = new Homes(input.engines(), input.models());
        input.engines().stream()
                .filter(EngineView::usable)
                .forEach(e -> mCapacity.merge(e.domain(), e.layerTokensPerSecond(), Double::sum));
    }

    /** Tells whether a domain is to hold whole chains of a model. */
    boolean isHome(int model, Identity domain) {
        return mHomes.isHome(id(model), domain);
    }

    /** Tells whether no domain alone has room for a model. */
    boolean spansDomains(int model) {
        return mHomes.of(id(model)).isEmpty();
    }

    /** Tells whether a domain may hold layers of a model. */
    boolean mayHold(int model, Identity domain) {
        if (!id(model).fleet().equals(domain.fleet())) {
            return false;
        }
        Set<Identity> homes = mHomes.of(id(model));
        boolean homeWorks = homes.stream().anyMatch(mCapacity::containsKey);
        return homes.contains(domain) || !homeWorks;
    }

    /** Returns the throughput wanted of all domains together, in tokens per second. */
    double total(int model) {
        return Math.max(LEAST_TOKENS_PER_SECOND, mModels.get(model).tokensPerSecond() * HEADROOM);
    }

    /** Returns a home's part of the throughput, in tokens per second. */
    double local(int model, Identity domain) {
        Set<Identity> homes = mHomes.of(id(model));
        double all = homes.stream().mapToDouble(d -> mCapacity.getOrDefault(d, 0.0)).sum();
        return all == 0 ? 0 : total(model) * mCapacity.getOrDefault(domain, 0.0) / all;
    }

    private Identity id(int model) {
        return mModels.get(model).model().id();
    }
}
