package org.amaranthpick.bench;

import java.time.Duration;
import java.util.Comparator;
import java.util.Locale;
import org.amaranthpick.core.placement.SimulatedEngine;

/** Measures the time from an engine's death to full repair against weight size and store rate. */
public final class RepairTime {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final Duration LONGEST = Duration.ofMinutes(20);

    private RepairTime() {}

    /**
     * Prints the table.
     *
     * @param args none
     */
    public static void main(String[] args) {
        System.out.println(
                "case         layer MiB  store GiB/s  loads  loaded GiB  at store's rate s"
                        + "  repaired s");
        for (boolean replaced : new boolean[] {true, false}) {
            for (int layerMib : new int[] {512, 1_024, 2_048}) {
                for (double gibPerSecond : new double[] {1, 4, 16}) {
                    measure(replaced, layerMib, gibPerSecond, 4);
                }
            }
        }
        measure(false, 1_024, 4, 1);
        measure(false, 1_024, 4, 16);
    }

    private static void measure(boolean replaced, int layerMib, double gibPerSecond, int loads) {
        PlacementFleet fleet =
                new PlacementFleet(
                        new PlacementFleet.Sizes(
                                3,
                                12,
                                39,
                                2,
                                (long) layerMib << 20,
                                PlacementFleet.weightStore(gibPerSecond, loads)));
        fleet.runUntilQuiet();
        fleet.run(Duration.ofMinutes(1));
        SimulatedEngine victim = busiest(fleet);
        long loadedBefore = fleet.mEngines.bytesLoaded();
        victim.kill();
        long startNs = fleet.mScheduler.monotonicNs();
        if (replaced) {
            victim.restart();
        }
        Duration repaired = Duration.ZERO;
        Duration elapsed = Duration.ZERO;
        double best = fleet.throughput();
        while (elapsed.compareTo(LONGEST) < 0) {
            fleet.run(Duration.ofMillis(500));
            elapsed = Duration.ofNanos(fleet.mScheduler.monotonicNs() - startNs);
            if (fleet.throughput() > best) {
                best = fleet.throughput();
                repaired = elapsed;
            }
        }
        double gib = (fleet.mEngines.bytesLoaded() - loadedBefore) / (double) (1L << 30);
        System.out.printf(
                Locale.ROOT,
                "%-11s  %9d  %11.0f  %5d  %10.1f  %17.1f  %10.1f%n",
                replaced ? "replaced" : "not replaced",
                layerMib,
                gibPerSecond,
                loads,
                gib,
                gib / gibPerSecond,
                repaired.toMillis() / MILLIS_PER_SECOND);
    }

    /** Returns the engine whose loss takes most throughput away. */
    private static SimulatedEngine busiest(PlacementFleet fleet) {
        return fleet.mEngines.engines().stream()
                .max(
                        Comparator.comparingInt(
                                e -> e.holdings().stream().mapToInt(h -> h.layers().size()).sum()))
                .orElseThrow();
    }
}
