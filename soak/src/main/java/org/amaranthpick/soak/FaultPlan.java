package org.amaranthpick.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Draws overlapping faults from a seed; the same seed gives the same plan. */
final class FaultPlan {
    private static final int SHORTEST_MS = 200;
    private static final int LONGEST_MS = 2500;
    private static final int MOST_TARGETS = 64;

    private FaultPlan() {}

    /**
     * Draws a plan.
     *
     * @param scene kinds of faults
     * @param seed seed
     * @param length time in which faults begin
     * @param count number of faults that are drawn
     * @return faults in order of their start
     */
    static List<PlannedFault> draw(FaultScene scene, long seed, Duration length, int count) {
        SplittableRandom random = new SplittableRandom(seed);
        List<FaultKind> kinds = scene.drawn();
        List<PlannedFault> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            faults.add(fault(kinds.get(random.nextInt(kinds.size())), length, random));
        }
        scene.always().forEach(kind -> faults.add(fault(kind, Duration.ofMillis(1), random)));
        faults.sort(Comparator.comparing(PlannedFault::at));
        return faults;
    }

    private static PlannedFault fault(FaultKind kind, Duration length, SplittableRandom random) {
        return new PlannedFault(
                kind,
                random.nextInt(MOST_TARGETS),
                Duration.ofMillis(random.nextLong(length.toMillis())),
                Duration.ofMillis(random.nextInt(SHORTEST_MS, LONGEST_MS)));
    }
}
