package org.amaranthpick.core.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.amaranthpick.core.name.Identity;

/**
 * Home domains of each model version: domains that each hold complete chains of it. Computed from
 * the configured memory alone, so that the owners of all shards get the same result whatever fails.
 * Each round gives every model version one more home if a domain has room, so that all get a second
 * home before any gets a third.
 */
final class HomeDomains {
    private static final double USABLE_WEIGHT_SHARE = 0.85;

    private final Map<Identity, Set<Identity>> mDomains = new HashMap<>();

    HomeDomains(List<EngineView> engines, List<ModelRequirement> models) {
        Map<Identity, Double> freeBytes = new TreeMap<>();
        for (EngineView engine : engines) {
            double bytes = engine.memoryBytes() * PlanDraft.WEIGHT_SHARE * USABLE_WEIGHT_SHARE;
            freeBytes.merge(engine.domain(), bytes, Double::sum);
        }
        List<ModelRequirement> sorted =
                models.stream().sorted(Comparator.comparing(n -> n.model().id())).toList();
        for (int round = 0; round < freeBytes.size(); round++) {
            for (ModelRequirement requirement : sorted) {
                addHome(requirement, freeBytes);
            }
        }
    }

    /** Returns whether a domain should hold complete chains of a model version. */
    boolean isHome(Identity model, Identity domain) {
        return mDomains.getOrDefault(model, Set.of()).contains(domain);
    }

    /** Returns the domains that should hold complete chains; empty if none has room for one. */
    Set<Identity> homes(Identity model) {
        return mDomains.getOrDefault(model, Set.of());
    }

    private void addHome(ModelRequirement requirement, Map<Identity, Double> freeBytes) {
        Identity model = requirement.model().id();
        double bytes =
                (double) requirement.model().layers() * requirement.model().layerWeightBytes();
        Set<Identity> homes = mDomains.computeIfAbsent(model, id -> new HashSet<>());
        freeBytes.keySet().stream()
                .filter(domain -> domain.fleet().equals(model.fleet()))
                .filter(domain -> !homes.contains(domain) && freeBytes.get(domain) >= bytes)
                .max(Comparator.comparingLong(domain -> DomainRank.of(model, domain)))
                .ifPresent(
                        domain -> {
                            homes.add(domain);
                            freeBytes.merge(domain, -bytes, Double::sum);
                        });
    }
}
