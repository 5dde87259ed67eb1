package org.amaranthpick.core.placement;

import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.manifest.AdapterSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Selects the adapters that an engine loads: the most used ones that fit into the memory for
 * adapters, in order of use.
 */
final class AdapterSelector {
    private static final double ADAPTER_MEMORY_SHARE = 0.1;

    private AdapterSelector() {}

    /** Returns the target holdings of an engine, including adapters. */
    static List<UpstreamSpec.Holding> holdings(PlanDraft draft, EngineView engine) {
        List<UpstreamSpec.Holding> holdings = new ArrayList<>();
        double freeBytes = engine.memoryBytes() * ADAPTER_MEMORY_SHARE;
        for (PlanDraft.PlacedNode node : draft.placedNodes(engine)) {
            ModelRequirement requirement = draft.models().get(node.model());
            List<Identity> adapters = new ArrayList<>();
            for (AdapterSpec adapter : requirement.adapters()) {
                long bytes = adapter.layerBytes() * draft.range(node).size();
                if (bytes <= freeBytes) {
                    freeBytes -= bytes;
                    adapters.add(adapter.id());
                }
            }
            holdings.add(
                    new UpstreamSpec.Holding(
                            requirement.model().id(), draft.range(node), adapters));
        }
        return holdings;
    }
}
