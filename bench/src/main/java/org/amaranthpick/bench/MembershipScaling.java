package org.amaranthpick.bench;

import java.time.Duration;
import org.amaranthpick.core.member.MemberState;

/** Time until every daemon knows that one leaves or has died, against the number of daemons. */
public final class MembershipScaling {
    private static final int[][] SIZES = {{12, 3}, {50, 5}, {150, 10}, {440, 10}};
    private static final Duration WARM_UP = Duration.ofSeconds(90);
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration LIMIT = Duration.ofSeconds(60);
    private static final int EVENTS = 3;

    private MembershipScaling() {}

    /**
     * Prints the table.
     *
     * @param args none
     */
    public static void main(String[] args) {
        for (int[] size : SIZES) {
            measure(size[0], size[1]);
        }
    }

    private static void measure(int daemons, int domains) {
        ControlFleet fleet = new ControlFleet(daemons, domains, false);
        fleet.run(WARM_UP);
        long leaveMs = 0;
        long deadMs = 0;
        long bytesBefore = fleet.sentBytes();
        for (int event = 0; event < EVENTS; event++) {
            int leaver = event * 3 + 1;
            fleet.leave(leaver);
            leaveMs = Math.max(leaveMs, waitMs(fleet, leaver, MemberState.LEAVING, daemons - 1));
        }
        fleet.run(Duration.ofSeconds(20));
        double leaveBytes = (fleet.sentBytes() - bytesBefore) / (double) EVENTS / daemons;
        int dead = 0;
        for (int event = 0; event < EVENTS; event++) {
            int victim = event * 3 + 2;
            fleet.fail(victim);
            dead++;
            deadMs = Math.max(deadMs, waitMs(fleet, victim, MemberState.DEAD, daemons - dead));
        }
        System.out.printf(
                "%4d daemons in %2d domains: leaving known everywhere after %d ms at most, death"
                        + " after %d ms at most (%d events each); %.0f bytes sent per leaving"
                        + " and daemon%n",
                daemons, domains, leaveMs, deadMs, EVENTS, leaveBytes);
    }

    private static long waitMs(ControlFleet fleet, int number, MemberState state, long wanted) {
        long waitedMs = 0;
        while (fleet.holding(number, state) < wanted && waitedMs < LIMIT.toMillis()) {
            fleet.run(STEP);
            waitedMs += STEP.toMillis();
        }
        return waitedMs;
    }
}
