package org.amaranthpick.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;

/** Small fleets for planner tests. */
final class TestFleets {
    static final long GIB = 1L << 30;
    static final String FLEET = "kenanga";

    private TestFleets() {}

    static Identity domain(String name) {
        return new Identity(FLEET, ResourceKind.DOMAIN, name);
    }

    static Identity engineId(String name) {
        return new Identity(FLEET, ResourceKind.UPSTREAM, name);
    }

    static ModelVersionSpec model(String name, int layers, long layerBytes) {
        Identity id = new Identity(FLEET, ResourceKind.MODEL_VERSION, name);
        return new ModelVersionSpec(id, layers, layerBytes, 16_384, 4_096);
    }

    static ModelRequirement requirement(ModelVersionSpec model, double tokensPerSecond) {
        return new ModelRequirement(model, tokensPerSecond, 1, List.of(), false);
    }

    static EngineView engine(int number, String domain, String rack, long memoryGib) {
        return new EngineView(
                engineId(domain + "-e" + number),
                domain(domain),
                rack,
                memoryGib * GIB,
                memoryGib * 1_000.0,
                true,
                List.of());
    }

    /** Returns engines of 24, 48 and 80 GiB, spread over domains with four racks each. */
    static List<EngineView> mixed(int count, int domains) {
        long[] sizes = {24, 48, 80};
        List<EngineView> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String domain = "d" + i % domains;
            int local = i / domains;
            engines.add(engine(i, domain, "r" + local % 4, sizes[local % 3]));
        }
        return engines;
    }

    static Set<Identity> domains(List<EngineView> engines) {
        Set<Identity> domains = new HashSet<>();
        engines.forEach(e -> domains.add(e.domain()));
        return domains;
    }

    static PlanInput input(List<EngineView> engines, List<ModelRequirement> requirements) {
        return new PlanInput(engines, requirements, domains(engines), Set.of(), Set.of());
    }

    static List<EngineView> apply(List<EngineView> engines, Plan plan) {
        Map<Identity, List<UpstreamSpec.Holding>> targets = plan.targets();
        return engines.stream()
                .map(e -> e.withHoldings(targets.getOrDefault(e.id(), List.of())))
                .toList();
    }

    static EngineView unusable(EngineView e) {
        return new EngineView(
                e.id(),
                e.domain(),
                e.rack(),
                e.memoryBytes(),
                e.layerTokensPerSecond(),
                false,
                List.of());
    }

    /** Returns the number of layers that must be loaded to get from one state to another. */
    static int layersLoaded(List<EngineView> before, List<EngineView> after) {
        int loaded = 0;
        for (int i = 0; i < before.size(); i++) {
            List<UpstreamSpec.Holding> held = before.get(i).holdings();
            for (UpstreamSpec.Holding target : after.get(i).holdings()) {
                boolean kept = held.stream().anyMatch(h -> sameLayers(h, target));
                loaded += kept ? 0 : target.layers().size();
            }
        }
        return loaded;
    }

    private static boolean sameLayers(UpstreamSpec.Holding first, UpstreamSpec.Holding second) {
        return first.modelVersion().equals(second.modelVersion())
                && first.layers().equals(second.layers());
    }
}
