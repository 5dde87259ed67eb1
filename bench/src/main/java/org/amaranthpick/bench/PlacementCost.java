package org.amaranthpick.bench;

import java.time.Duration;
import java.util.Locale;
import org.amaranthpick.core.placement.SimulatedEngine;

/** Measures store calls and peer messages of placement, steady and during a repair. */
public final class PlacementCost {
    private static final int DOMAINS = 10;
    private static final int MODELS = 12;
    private static final Duration STEADY = Duration.ofMinutes(2);

    private PlacementCost() {}

    /**
     * Prints the table.
     *
     * @param args none
     */
    public static void main(String[] args) {
        System.out.println(
                "daemons  engines  phase    seconds  reads/s  writes/s  calls/s per daemon"
                        + "  messages/s  CPU ms/s per daemon");
        measure(12, 120, 16);
        measure(440, 250, 16);
        measure(10, 250, 200);
        measure(10, 1_000, 200);
        measure(10, 2_500, 200);
    }

    private static void measure(int daemons, int engines, int storeGibPerSecond) {
        PlacementFleet fleet =
                new PlacementFleet(
                        new PlacementFleet.Sizes(
                                DOMAINS,
                                daemons,
                                engines,
                                MODELS,
                                1L << 28,
                                PlacementFleet.weightStore(storeGibPerSecond, storeGibPerSecond)));
        phase(fleet, daemons, engines, "fill", fleet::runUntilQuiet);
        phase(fleet, daemons, engines, "steady", () -> fleet.run(STEADY));
        int killed = 0;
        for (SimulatedEngine engine : fleet.mEngines.engines()) {
            if (killed < engines / 20) {
                engine.kill();
                killed++;
            }
        }
        phase(fleet, daemons, engines, "lost", () -> repair(fleet));
        fleet.mEngines.engines().stream().filter(e -> !e.alive()).forEach(SimulatedEngine::restart);
        phase(fleet, daemons, engines, "joined", () -> repair(fleet));
        System.out.println(
                "largest object "
                        + fleet.mStore.largestBytes()
                        + " bytes, invariant violations "
                        + fleet.mInvariants.total());
    }

    private static void repair(PlacementFleet fleet) {
        fleet.run(Duration.ofSeconds(5));
        fleet.runUntilQuiet();
    }

    private static void phase(
            PlacementFleet fleet, int daemons, int engines, String name, Runnable work) {
        long startNs = fleet.mScheduler.monotonicNs();
        long reads = fleet.mStore.reads();
        long writes = fleet.mStore.writes();
        long messages = fleet.messages();
        long stepNanos = fleet.stepNanos();
        work.run();
        double seconds = (fleet.mScheduler.monotonicNs() - startNs) / 1e9;
        double readRate = (fleet.mStore.reads() - reads) / seconds;
        double writeRate = (fleet.mStore.writes() - writes) / seconds;
        System.out.printf(
                Locale.ROOT,
                "%7d  %7d  %-7s  %7.0f  %7.2f  %8.2f  %18.4f  %10.1f  %19.2f%n",
                daemons,
                engines,
                name,
                seconds,
                readRate,
                writeRate,
                (readRate + writeRate) / daemons,
                (fleet.messages() - messages) / seconds,
                (fleet.stepNanos() - stepNanos) / 1e6 / seconds / daemons);
    }
}
