package org.amaranthpick.core.placement;

import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.manifest.AdapterSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Chooses the adapters that an engine holds: the most used ones that fit, in the same order. */
final class AdapterFit {
    private static final double ADAPTER_SHARE = 0.1;

    private AdapterFit() {}

    /** Returns what an engine is to hold, adapters included. */
    static List<UpstreamSpec.Holding> holdings(Draft draft, EngineView engine) {
        List<UpstreamSpec.Holding> holdings = new ArrayList<>();
        double room = engine.memoryBytes() * ADAPTER_SHARE;
        for (Draft.Placed placed : draft.placed(engine)) {
            ModelNeed need = draft.models().get(placed.model());
            List<Identity> adapters = new ArrayList<>();
            for (AdapterSpec adapter : need.adapters()) {
                long bytes = adapter.layerBytes() * draft.range(placed).size();
                if (bytes <= room) {
                    room -= bytes;
                    adapters.add(adapter.id());
                }
            }
            holdings.add(
                    new UpstreamSpec.Holding(need.model().id(), draft.range(placed), adapters));
        }
        return holdings;
    }
}
