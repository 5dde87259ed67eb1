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

/** Engines of the configuration with what is known of each at one moment. */
final class EngineSurvey {
    private final Map<Identity, Entry> mEntries = new HashMap<>();

    /**
     * One engine.
     *
     * @param spec engine as configured
     * @param accelerator its accelerators
     * @param rack its rack, empty if unknown
     * @param seen last observation, however old
     * @param verdict what placement does with it
     */
    record Entry(
            UpstreamSpec spec,
            AcceleratorSpec accelerator,
            String rack,
            Optional<UpstreamObservation> seen,
            EngineHealth.Verdict verdict) {
        boolean usable() {
            return verdict.state() == EngineHealth.State.USABLE;
        }

        boolean unknown() {
            return verdict.state() == EngineHealth.State.UNKNOWN;
        }

        boolean out() {
            return verdict.state() == EngineHealth.State.OUT;
        }

        String bootId() {
            return seen.map(o -> o.status().bootId()).orElse("");
        }

        List<UpstreamSpec.Holding> held() {
            return seen.map(o -> o.status().holdings()).orElse(List.of());
        }
    }

    /**
     * Takes a survey.
     *
     * @param configuration configuration in force
     * @param board blackboard with the observations
     * @param health judges each engine
     * @param domain domain of the control shard
     */
    EngineSurvey(
            Configuration configuration, Blackboard board, EngineHealth health, Identity domain) {
        Map<Identity, String> racks = new HashMap<>();
        for (HostSpec host : configuration.manifest().hosts()) {
            racks.put(host.id(), host.rack());
        }
        for (UpstreamSpec spec : configuration.manifest().upstreams()) {
            if (spec.accelerator().isEmpty()) {
                continue;
            }
            Optional<UpstreamObservation> seen = board.upstreams().get(spec.id());
            AcceleratorSpec accelerator = spec.accelerator().get();
            boolean near = spec.domain().equals(domain);
            EngineHealth.Verdict verdict = health.judge(spec, accelerator, seen, near);
            String rack = spec.host().map(h -> racks.getOrDefault(h, "")).orElse("");
            mEntries.put(spec.id(), new Entry(spec, accelerator, rack, seen, verdict));
        }
    }

    /** Returns the engines that keep their place in the plan though they are silent. */
    Set<Identity> unknown() {
        Set<Identity> unknown = new HashSet<>();
        mEntries.values().stream()
                .filter(Entry::unknown)
                .forEach(entry -> unknown.add(entry.spec().id()));
        return unknown;
    }

    Map<Identity, Entry> entries() {
        return mEntries;
    }

    Optional<Entry> entry(Identity engine) {
        return Optional.ofNullable(mEntries.get(engine));
    }

    /** Returns the engines for the planner. */
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
                            !entry.out(),
                            holdings.apply(entry)));
        }
        views.sort(Comparator.comparing(EngineView::id));
        return views;
    }
}
