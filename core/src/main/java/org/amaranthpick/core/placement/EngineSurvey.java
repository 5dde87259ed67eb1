package org.amaranthpick.core.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
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
     * @param fault why it cannot be used, empty if it can
     */
    record Entry(
            UpstreamSpec spec,
            AcceleratorSpec accelerator,
            String rack,
            Optional<UpstreamObservation> seen,
            Optional<String> fault) {
        boolean usable() {
            return fault.isEmpty();
        }

        List<UpstreamSpec.Holding> held() {
            return seen.map(o -> o.status().holdings()).orElse(List.of());
        }
    }

    /**
     * Takes a survey.
     *
     * @param configuration configuration in force
     * @param context what placement works with
     * @param trusted tells of engines that do what they are told
     */
    EngineSurvey(
            Configuration configuration, PlacementContext context, Predicate<Identity> trusted) {
        Instant now = context.scheduler().instant();
        Duration maxAge = context.settings().maxStatusAge();
        Map<Identity, String> racks = new HashMap<>();
        for (HostSpec host : configuration.manifest().hosts()) {
            racks.put(host.id(), host.rack());
        }
        for (UpstreamSpec spec : configuration.manifest().upstreams()) {
            if (spec.accelerator().isEmpty()) {
                continue;
            }
            Optional<UpstreamObservation> seen = context.board().upstreams().get(spec.id());
            AcceleratorSpec accelerator = spec.accelerator().get();
            Optional<String> fault =
                    trusted.test(spec.id())
                            ? seen.map(o -> fault(o, accelerator, now, maxAge))
                                    .orElse(Optional.of("it was never seen"))
                            : Optional.of("it did not do what it was told");
            String rack = spec.host().map(h -> racks.getOrDefault(h, "")).orElse("");
            mEntries.put(spec.id(), new Entry(spec, accelerator, rack, seen, fault));
        }
    }

    private static Optional<String> fault(
            UpstreamObservation seen, AcceleratorSpec accelerator, Instant now, Duration maxAge) {
        if (seen.reachability() == UpstreamObservation.Reachability.LOST) {
            return Optional.of("it is lost");
        }
        if (seen.status().leaving()) {
            return Optional.of("it is leaving");
        }
        if (seen.sampledAt().plus(maxAge).isBefore(now)) {
            return Optional.of("its last report is too old");
        }
        return StatusCheck.fault(accelerator, seen.status());
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
                            entry.usable(),
                            holdings.apply(entry)));
        }
        views.sort(Comparator.comparing(EngineView::id));
        return views;
    }
}
