package org.amaranthpick.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthpick.core.name.Identity;

/** Target throughput of each model version, in total and per domain. */
final class ThroughputTargets {
    /** Factor of the target throughput over demand. */
    private static final double HEADROOM = 1.3;

    private static final double MIN_TOKENS_PER_SECOND = 1;

    private final HomeDomains mHomes;
    private final List<ModelRequirement> mModels;
    private final Map<Identity, Double> mDomainCapacity = new HashMap<>();

    ThroughputTargets(PlanInput input) {
        mModels = input.models();
        mHomes = new HomeDomains(input.engines(), input.models());
        input.engines().stream()
                .filter(EngineView::usable)
                .forEach(
                        e ->
                                mDomainCapacity.merge(
                                        e.domain(), e.layerTokensPerSecond(), Double::sum));
    }

    /** Returns whether a domain should hold complete chains of a model version. */
    boolean isHome(int model, Identity domain) {
        return mHomes.isHome(id(model), domain);
    }

    /** Returns whether no single domain has room for a model version. */
    boolean spansDomains(int model) {
        return mHomes.homes(id(model)).isEmpty();
    }

    /** Returns whether a domain may hold layers of a model version. */
    boolean mayHold(int model, Identity domain) {
        if (!id(model).fleet().equals(domain.fleet())) {
            return false;
        }
        Set<Identity> homes = mHomes.homes(id(model));
        boolean hasUsableHome = homes.stream().anyMatch(mDomainCapacity::containsKey);
        return homes.contains(domain) || !hasUsableHome;
    }

    /** Returns the target throughput of all domains together, in tokens per second. */
    double total(int model) {
        return Math.max(MIN_TOKENS_PER_SECOND, mModels.get(model).tokensPerSecond() * HEADROOM);
    }

    /** Returns the part of the target that a home domain should provide, in tokens per second. */
    double forDomain(int model, Identity domain) {
        Set<Identity> homes = mHomes.homes(id(model));
        double capacity =
                homes.stream().mapToDouble(d -> mDomainCapacity.getOrDefault(d, 0.0)).sum();
        return capacity == 0
                ? 0
                : total(model) * mDomainCapacity.getOrDefault(domain, 0.0) / capacity;
    }

    private Identity id(int model) {
        return mModels.get(model).model().id();
    }
}
