package org.amaranthpick.tools.experiment;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.amaranthpick.core.layers.ChainFinder;
import org.amaranthpick.core.layers.ChainStage;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.standins.fleet.EmulatedFleet;
import org.amaranthpick.standins.fleet.FleetShape;

/** What a pattern does to the engines. */
final class Disturbance {
    private static final Duration DOWN = Duration.ofSeconds(5);

    private static final double SLOW = 5;
    private static final double SLOW_PIPE = 0.1;

    private final FleetShape mShape;
    private final EmulatedFleet mFleet;
    private final Scheduler mScheduler;

    Disturbance(FleetShape shape, EmulatedFleet fleet, Scheduler scheduler) {
        mShape = shape;
        mFleet = fleet;
        mScheduler = scheduler;
    }

    void begin(LoadPattern pattern) {
        switch (pattern) {
            case LOST_ENGINE -> kill(List.of(middleOfFastest()), mFleet::restart);
            case GONE_ENGINE -> mFleet.kill(middleOfFastest().id());
            case LOST_DOMAIN -> kill(largestDomain(), mFleet::restart);
            case CUT_DOMAIN -> kill(largestDomain(), mFleet::reconnect);
            case SLOW_ENGINE -> slow(middleOfFastest());
            case SLOW_PIPE -> slowPipe();
            default -> {
                // The other patterns change the load alone.
            }
        }
    }

    private UpstreamEntry middleOfFastest() {
        List<ChainStage> stages =
                new ChainFinder(mShape.model(), mShape.entries().get(0).domain())
                        .findCheapest(mFleet.registered(), engine -> true)
                        .orElseThrow()
                        .stages();
        return stages.get(stages.size() / 2).engine();
    }

    private List<UpstreamEntry> largestDomain() {
        Map<String, List<UpstreamEntry>> byDomain =
                mFleet.registered().stream().collect(Collectors.groupingBy(UpstreamEntry::domain));
        return byDomain.values().stream().max(Comparator.comparingDouble(this::memoryMb)).get();
    }

    private double memoryMb(List<UpstreamEntry> engines) {
        return engines.stream()
                .mapToDouble(e -> mShape.model().cards().get(e.card().get()).memoryMb())
                .sum();
    }

    private void kill(List<UpstreamEntry> engines, Consumer<String> comeBack) {
        for (UpstreamEntry engine : engines) {
            mFleet.kill(engine.id());
            mScheduler.schedule(DOWN, () -> comeBack.accept(engine.id()));
        }
    }

    private void slow(UpstreamEntry engine) {
        mFleet.slow(engine.id(), SLOW);
        mScheduler.schedule(DOWN, () -> mFleet.slow(engine.id(), 1));
    }

    private void slowPipe() {
        mFleet.setPipes(SLOW_PIPE);
        mScheduler.schedule(DOWN, () -> mFleet.setPipes(1));
        kill(List.of(middleOfFastest()), mFleet::restart);
    }
}
