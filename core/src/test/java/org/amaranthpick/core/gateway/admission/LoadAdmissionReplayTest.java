package org.amaranthpick.core.gateway.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.amaranthpick.core.gateway.admission.ReplayFleet.Call;
import org.amaranthpick.core.gateway.admission.ReplayFleet.Policy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Replays loads for which there is too little room, beside engines that order their queues by
 * arrival or by priority alone. The fleet has room for 60 usual requests of 3 s: 20 a second.
 */
class LoadAdmissionReplayTest {
    private static final int CHAINS = 6;
    private static final double CHAIN_TOKENS = 10_000;
    private static final double STEP_S = 0.005;
    private static final double END_S = 40;

    /** Loads of which each has too little room. */
    enum Load {
        /** A burst of the least urgent kind over a steady urgent one. */
        LOW_BURST {
            @Override
            void arrivals(ReplayFleet fleet, SplittableRandom random, double s) {
                arrive(fleet, random, 12, 0, "a", 1);
                arrive(fleet, random, s > 8 && s < 25 ? 40 : 4, 2, "b", 1);
            }
        },
        /** Two thirds of the chains are lost for a while and come back at once. */
        OUTAGE {
            @Override
            void arrivals(ReplayFleet fleet, SplittableRandom random, double s) {
                arrive(fleet, random, 9, 0, "a", 1);
                arrive(fleet, random, 9, 1, "b", 1);
                if (isAt(s, 8)) {
                    fleet.setLost(CHAINS * 2 / 3, true);
                } else if (isAt(s, 18)) {
                    fleet.setLost(CHAINS * 2 / 3, false);
                }
            }
        },
        /** A fifth of the requests are three times as large as the others. */
        LARGE {
            @Override
            void arrivals(ReplayFleet fleet, SplittableRandom random, double s) {
                arrive(fleet, random, 16, 0, "a", 0.8);
                arrive(fleet, random, 4, 0, "a", 3);
                arrive(fleet, random, 8, 1, "b", 1);
            }
        },
        /** One workspace sends ten times as much as nine others each. */
        FLOOD {
            @Override
            void arrivals(ReplayFleet fleet, SplittableRandom random, double s) {
                arrive(fleet, random, 20, 0, "flood", 1);
                for (int i = 0; i < 9; i++) {
                    arrive(fleet, random, 2, 0, "small" + i, 1);
                }
            }
        },
        /** Urgent requests alone would fill the fleet all the time. */
        URGENT_OVERLOAD {
            @Override
            void arrivals(ReplayFleet fleet, SplittableRandom random, double s) {
                arrive(fleet, random, 24, 0, "a", 1);
                arrive(fleet, random, 6, 1, "b", 1);
                arrive(fleet, random, 6, 2, "c", 1);
            }
        };

        abstract void arrivals(ReplayFleet fleet, SplittableRandom random, double s);

        private static boolean isAt(double s, double atS) {
            return Math.abs(s - atS) < STEP_S / 2;
        }

        private static void arrive(
                ReplayFleet fleet,
                SplittableRandom random,
                double perS,
                int priority,
                String workspace,
                double size) {
            if (random.nextDouble() < perS * STEP_S) {
                fleet.arrive(priority, workspace, size * ReplayFleet.USUAL_TOKENS);
            }
        }
    }

    private static List<Call> replay(Load load, Policy policy) {
        ReplayFleet fleet = new ReplayFleet(policy, 12, CHAINS, CHAIN_TOKENS);
        SplittableRandom random = new SplittableRandom(7);
        int steps = (int) Math.round(END_S / STEP_S);
        for (int i = 0; i < steps + 2000; i++) {
            if (i < steps) {
                load.arrivals(fleet, random, i * STEP_S);
            }
            fleet.step();
        }
        return fleet.mCalls;
    }

    private static double served(List<Call> calls, Predicate<Call> group) {
        return calls.stream()
                .filter(group)
                .mapToInt(call -> call.mFirstEvent.isPresent() ? 1 : 0)
                .average()
                .orElseThrow();
    }

    private static double value(List<Call> calls) {
        double owed = calls.stream().mapToDouble(call -> Math.pow(0.5, call.mPriority)).sum();
        return calls.stream().mapToDouble(Call::value).sum() / owed;
    }

    @ParameterizedTest
    @EnumSource(Load.class)
    void servesCallersBetterThanArrivalOrPriority(Load load) {
        Map<Policy, Double> values = new EnumMap<>(Policy.class);
        for (Policy policy : Policy.values()) {
            values.put(policy, value(replay(load, policy)));
        }
        double best = Math.max(values.get(Policy.ARRIVAL), values.get(Policy.PRIORITY));
        assertTrue(values.get(Policy.ADMISSION) >= best, load + " " + values);
    }

    @ParameterizedTest
    @EnumSource(Load.class)
    void starvesNobody(Load load) {
        List<Call> calls = replay(load, Policy.ADMISSION);
        double all = served(calls, call -> true);
        for (int i = 0; i < 3; i++) {
            int priority = i;
            if (calls.stream().anyMatch(call -> call.mPriority == priority)) {
                double share = served(calls, call -> call.mPriority == priority);
                assertTrue(share >= all / 4, load + " priority " + i + ": " + share + " of " + all);
            }
        }
        for (String workspace : calls.stream().map(call -> call.mWorkspace).distinct().toList()) {
            double share = served(calls, call -> call.mWorkspace.equals(workspace));
            assertTrue(share >= all / 4, load + " " + workspace + ": " + share + " of " + all);
        }
        if (load == Load.LARGE) {
            double kind = served(calls, call -> call.mPriority == 0);
            double large = served(calls, call -> call.mTokens > 2 * ReplayFleet.USUAL_TOKENS);
            assertTrue(large >= kind / 2, "large " + large + " of " + kind);
        }
    }

    @ParameterizedTest
    @EnumSource(Load.class)
    void refusesNothingWhileThereIsRoomAndDecidesOnEachAttempt(Load load) {
        List<Call> calls = replay(load, Policy.ADMISSION);
        assertEquals(0, calls.stream().filter(call -> call.mRefusedWithRoom).count());
        for (Call call : calls) {
            assertTrue(call.mRefusals <= call.mAttempts && call.mAttempts <= 2);
            assertTrue(call.mFirstEvent.isEmpty() || call.mRefusals < call.mAttempts);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Load.class,
            names = {"LOW_BURST", "URGENT_OVERLOAD"})
    void servesMoreUrgentKindsAtLeastAsOften(Load load) {
        List<Call> calls = replay(load, Policy.ADMISSION);
        double urgent = served(calls, call -> call.mPriority == 0);
        double others = served(calls, call -> call.mPriority > 0);
        assertTrue(urgent >= others - 0.05, load + ": " + urgent + " and " + others);
    }

    @ParameterizedTest
    @EnumSource(value = Load.class, names = "FLOOD")
    void servesSmallWorkspacesAtLeastAsOftenAsTheFlood(Load load) {
        List<Call> calls = replay(load, Policy.ADMISSION);
        double small = served(calls, call -> call.mWorkspace.startsWith("small"));
        double flood = served(calls, call -> call.mWorkspace.equals("flood"));
        assertTrue(small >= flood, small + " and " + flood);
    }
}
