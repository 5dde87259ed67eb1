package org.amaranthpick.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.manifest.HostSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation;

/** Configured engines with their observations and assessments at one point in time. */
final class EngineSnapshot {
    private final Map<Identity, Entry> mEntries = new HashMap<>();

    /**
     * One engine.
     *
     * @param spec engine as configured
     * @param accelerator its accelerators
     * @param rack its rack, empty if unknown
     * @param observation latest observation, however old
     * @param assessment how placement treats it
     */
    record Entry(
            UpstreamSpec spec,
            AcceleratorSpec accelerator,
            String rack,
            Optional<UpstreamObservation> observation,
            EngineHealth.Assessment assessment) {
        boolean isUsable() {
            return assessment.state() == EngineHealth.State.USABLE;
        }

        boolean isUnknown() {
            return assessment.state() == EngineHealth.State.UNKNOWN;
        }

        boolean isExcluded() {
            return assessment.state() == EngineHealth.State.EXCLUDED;
        }

        String bootId() {
            return observation.map(o -> o.status().bootId()).orElse("");
        }

        List<UpstreamSpec.Holding> holdings() {
            return observation.map(o -> o.status().holdings()).orElse(List.of());
        }
    }

    /**
     * Builds the snapshot.
     *
     * @param configuration configuration in force
     * @param board blackboard with the observations
     * @param health assesses each engine
     * @param domain domain of the control shard
     */
    EngineSnapshot(
            Configuration configuration, Blackboard board, EngineHealth health, Identity domain) {
        Map<Identity, String> racks = new HashMap<>();
        for (HostSpec host : configuration.manifest().hosts()) {
            racks.put(host.id(), host.rack());
        }
        for (UpstreamSpec spec : configuration.manifest().upstreams()) {
            if (spec.accelerator().isEmpty()) {
                continue;
            }
            Optional<UpstreamObservation> observation = board.upstreams().get(spec.id());
            AcceleratorSpec accelerator = spec.accelerator().get();
            boolean local = spec.domain().equals(domain);
            EngineHealth.Assessment assessment =
                    health.assess(spec, accelerator, observation, local);
            String rack = spec.host().map(h -> racks.getOrDefault(h, "")).orElse("");
            mEntries.put(spec.id(), new Entry(spec, accelerator, rack, observation, assessment));
        }
    }

    /** Returns the engines that keep their place in the plan although their state is unknown. */
    Set<Identity> unknownEngines() {
        Set<Identity> engines = new HashSet<>();
        mEntries.values().stream()
                .filter(Entry::isUnknown)
                .forEach(entry -> engines.add(entry.spec().id()));
        return engines;
    }

    Map<Identity, Entry> entries() {
        return mEntries;
    }

    Optional<Entry> entry(Identity engine) {
        return Optional.ofNullable(mEntries.get(engine));
    }

    /** Returns the engines as planner input. */
    List<EngineView> views(Function<Entry, List<UpstreamSpec.Holding>> holdings) {
        List<EngineView> views = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            views.add(
                    new EngineView(
                            entry.spec().id(),
                            entry.spec().domain(),
                            entry.rack(),
                            entry.accelerator().memoryBytes(),
                            entry.accelerator().decodeLayerTokensPerSecond(),
                            !entry.isExcluded(),
                            holdings.apply(entry)));
        }
        views.sort(Comparator.comparing(EngineView::id));
        return views;
    }
}
