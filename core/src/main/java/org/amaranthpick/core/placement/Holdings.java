package org.amaranthpick.core.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Compares the holdings of an engine with its target. */
final class Holdings {
    private Holdings() {}

    /** Returns whether both lists contain the same holdings, in any order. */
    static boolean sameHoldings(
            List<UpstreamSpec.Holding> first, List<UpstreamSpec.Holding> second) {
        return first.size() == second.size()
                && retainsAll(first, second)
                && retainsAll(second, first);
    }

    /** Returns whether the target retains everything that is held. */
    static boolean retainsAll(List<UpstreamSpec.Holding> target, List<UpstreamSpec.Holding> held) {
        return held.stream().allMatch(h -> target.stream().anyMatch(t -> retains(t, h)));
    }

    /** Returns the model versions of which the target does not retain everything that is held. */
    static Set<Identity> modelsToUnload(
            List<UpstreamSpec.Holding> target, List<UpstreamSpec.Holding> held) {
        return held.stream()
                .filter(h -> target.stream().noneMatch(t -> retains(t, h)))
                .map(UpstreamSpec.Holding::modelVersion)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static boolean retains(UpstreamSpec.Holding target, UpstreamSpec.Holding held) {
        return target.modelVersion().equals(held.modelVersion())
                && target.layers().equals(held.layers())
                && new HashSet<>(target.adapters()).containsAll(held.adapters());
    }

    /** Returns the model versions of some holdings. */
    static Set<Identity> modelVersions(List<UpstreamSpec.Holding> holdings) {
        return holdings.stream()
                .map(UpstreamSpec.Holding::modelVersion)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the size in bytes of the layers of a model version that must be loaded. */
    static long bytesToLoad(
            ModelVersionSpec model,
            List<UpstreamSpec.Holding> held,
            List<UpstreamSpec.Holding> target) {
        Set<Integer> present = layers(model.id(), held);
        Set<Integer> missing = new HashSet<>(layers(model.id(), target));
        missing.removeAll(present);
        return missing.size() * model.layerWeightBytes();
    }

    private static Set<Integer> layers(Identity model, List<UpstreamSpec.Holding> holdings) {
        Set<Integer> layers = new HashSet<>();
        for (UpstreamSpec.Holding holding : holdings) {
            if (holding.modelVersion().equals(model)) {
                for (int i = holding.layers().from(); i < holding.layers().to(); i++) {
                    layers.add(i);
                }
            }
        }
        return layers;
    }
}
