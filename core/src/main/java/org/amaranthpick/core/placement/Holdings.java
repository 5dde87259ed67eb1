package org.amaranthpick.core.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Compares what an engine holds with what it is to hold. */
final class Holdings {
    private Holdings() {}

    /** Tells whether both hold the same, in any order. */
    static boolean same(List<UpstreamSpec.Holding> one, List<UpstreamSpec.Holding> other) {
        return one.size() == other.size() && covers(one, other) && covers(other, one);
    }

    /** Tells whether nothing held has to go. */
    static boolean covers(List<UpstreamSpec.Holding> target, List<UpstreamSpec.Holding> held) {
        return held.stream().allMatch(h -> target.stream().anyMatch(t -> includes(t, h)));
    }

    /** Returns the model versions of which something held has to go. */
    static Set<Identity> changed(
            List<UpstreamSpec.Holding> target, List<UpstreamSpec.Holding> held) {
        return held.stream()
                .filter(h -> target.stream().noneMatch(t -> includes(t, h)))
                .map(UpstreamSpec.Holding::modelVersion)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static boolean includes(UpstreamSpec.Holding target, UpstreamSpec.Holding held) {
        return target.modelVersion().equals(held.modelVersion())
                && target.layers().equals(held.layers())
                && new HashSet<>(target.adapters()).containsAll(held.adapters());
    }

    /** Returns the model versions held. */
    static Set<Identity> models(List<UpstreamSpec.Holding> holdings) {
        return holdings.stream()
                .map(UpstreamSpec.Holding::modelVersion)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Counts the layers of a model version to load. */
    static long bytesToLoad(
            ModelVersionSpec model,
            List<UpstreamSpec.Holding> held,
            List<UpstreamSpec.Holding> target) {
        Set<Integer> present = layers(model.id(), held);
        Set<Integer> wanted = new HashSet<>(layers(model.id(), target));
        wanted.removeAll(present);
        return wanted.size() * model.layerWeightBytes();
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
