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
 * Domains that each hold whole chains of a model version. Worked out from the configured memory
 * alone, so that every shard's owner comes to the same result whatever fails: first every model
 * version in two domains, then in as many as have room.
 */
final class Homes {
    private static final double USABLE_SHARE = 0.85;

    private final Map<Identity, Set<Identity>> mDomains = new HashMap<>();

    Homes(List<EngineView> engines, List<ModelNeed> models) {
        Map<Identity, Double> room = new TreeMap<>();
        for (EngineView engine : engines) {
            double bytes = engine.memoryBytes() * Draft.WEIGHT_SHARE * USABLE_SHARE;
            room.merge(engine.domain(), bytes, Double::sum);
        }
        List<ModelNeed> sorted =
                models.stream().sorted(Comparator.comparing(n -> n.model().id())).toList();
        for (int round = 0; round < room.size(); round++) {
            for (ModelNeed need : sorted) {
                addHome(need, room);
            }
        }
    }

    /** Tells whether a domain is to hold whole chains of a model version. */
    boolean isHome(Identity model, Identity domain) {
        return mDomains.getOrDefault(model, Set.of()).contains(domain);
    }

    /** Returns the domains that hold whole chains; empty if none has room for one. */
    Set<Identity> of(Identity model) {
        return mDomains.getOrDefault(model, Set.of());
    }

    private void addHome(ModelNeed need, Map<Identity, Double> room) {
        Identity model = need.model().id();
        double bytes = (double) need.model().layers() * need.model().layerWeightBytes();
        Set<Identity> homes = mDomains.computeIfAbsent(model, id -> new HashSet<>());
        room.keySet().stream()
                .filter(domain -> domain.fleet().equals(model.fleet()))
                .filter(domain -> !homes.contains(domain) && room.get(domain) >= bytes)
                .max(Comparator.comparingLong(domain -> DomainRank.of(model, domain)))
                .ifPresent(
                        domain -> {
                            homes.add(domain);
                            room.merge(domain, -bytes, Double::sum);
                        });
    }
}
