package org.amaranthpick.core.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.member.Member;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SharedLimitsTest {
    private static final int TOKENS = 10;
    private static final WorkspaceSpec.Limits UNLIMITED_RATES =
            new WorkspaceSpec.Limits(1e6, 1e7, 30);

    private static void run(LimitSharingFleet fleet, int seconds, int[] loaded) {
        for (int ms = 0; ms < seconds * 1_000; ms += 50) {
            for (int daemon : loaded) {
                fleet.daemon(daemon).start(TOKENS);
            }
            fleet.advance(Duration.ofMillis(50));
        }
    }

    /**
     * Slots are granted where the demand is: all of them if all daemons have demand, two thirds if
     * only one or two of three domains do. A tenth may stay unused if a fifth of the messages is
     * lost.
     */
    @ParameterizedTest
    @CsvSource({"1, 0", "6, 0", "12, 0", "1, 0.2", "12, 0.2"})
    void slotsAreGrantedWhereTheDemandIs(int loadedDaemons, double loss) {
        LimitSharingFleet fleet = new LimitSharingFleet(3, 4, UNLIMITED_RATES, new Random(5), loss);
        int[] loaded = new int[loadedDaemons];
        for (int i = 0; i < loadedDaemons; i++) {
            loaded[i] = i;
        }
        run(fleet, 30, loaded);
        int running = 0;
        for (int daemon : loaded) {
            running += fleet.daemon(daemon).running();
        }
        int expected = loadedDaemons < 12 ? 20 : loss > 0 ? 27 : 30;
        assertTrue(running >= expected && running <= 30, running + " requests in progress");
        assertEquals(0, fleet.invariants().total());
    }

    /** A domain that is cut off from the others uses all of its own quota and no more. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void partitionedDomainUsesItsOwnQuota(int loadedDaemons) {
        LimitSharingFleet fleet = new LimitSharingFleet(3, 4, UNLIMITED_RATES, new Random(6), 0);
        fleet.cutDomains(0, 1, true);
        fleet.cutDomains(0, 2, true);
        int[] loaded = new int[loadedDaemons];
        for (int i = 0; i < loadedDaemons; i++) {
            loaded[i] = i;
        }
        run(fleet, 20, loaded);
        int running = 0;
        for (int daemon : loaded) {
            running += fleet.daemon(daemon).running();
        }
        assertEquals(10, running);
    }

    /** All daemons together do not exceed the rate limits, and they use most of them. */
    @ParameterizedTest
    @CsvSource({"60, 1e6, 1", "60, 1e6, 12", "1e6, 600, 12", "3, 1e6, 12"})
    void rateLimitsApplyToAllDaemonsTogether(double requests, double tokens, int loadedDaemons) {
        WorkspaceSpec.Limits limits = new WorkspaceSpec.Limits(requests, tokens, 100_000);
        LimitSharingFleet fleet = new LimitSharingFleet(3, 4, limits, new Random(7), 0);
        int[] loaded = new int[loadedDaemons];
        for (int i = 0; i < loadedDaemons; i++) {
            loaded[i] = i;
        }
        run(fleet, 20, loaded);
        int startedBefore = fleet.startedRequests();
        run(fleet, 60, loaded);
        double perSecond = (fleet.startedRequests() - startedBefore) / 60.0;
        double bound = Math.min(requests, tokens / TOKENS);
        assertTrue(perSecond <= bound * 1.1, perSecond + " of " + bound + " requests/s");
        double share = loadedDaemons == 1 ? 0.3 : 0.85;
        double offered = loadedDaemons * 20.0;
        assertTrue(
                perSecond >= share * Math.min(bound, offered),
                perSecond + " of " + bound + " requests/s");
    }

    /**
     * The slots held by all daemons together never exceed the limit, whatever messages are lost,
     * duplicated or late, and whatever daemons are partitioned, paused, restarted or believed dead
     * for a while.
     */
    @Property(seed = "20260107", tries = 50)
    void heldSlotsNeverExceedTheLimit(
            @ForAll int seed, @ForAll @IntRange(min = 1, max = 40) int slots) {
        RandomGenerator random = new Random(seed);
        double loss = random.nextInt(4) * 0.1;
        WorkspaceSpec.Limits limits = new WorkspaceSpec.Limits(1e6, 1e7, slots);
        LimitSharingFleet fleet = new LimitSharingFleet(2, 4, limits, random, loss);
        int disturbanceInterval = random.nextBoolean() ? 60 : 400;
        for (int turn = 0; turn < 1_600; turn++) {
            disturb(fleet, random, disturbanceInterval);
            for (int daemon = 0; daemon < 8; daemon++) {
                LimitSharingFleet.Daemon current = fleet.daemon(daemon);
                if (!current.isPaused() && random.nextInt(3) == 0) {
                    current.start(TOKENS);
                } else if (!current.isPaused() && random.nextInt(4) == 0) {
                    current.finish(TOKENS);
                }
            }
            fleet.advance(Duration.ofMillis(25));
            int heldSlots = fleet.slots();
            assertTrue(heldSlots <= slots, heldSlots + " slots of " + slots + " in turn " + turn);
        }
        assertEquals(0, fleet.invariants().total());
    }

    private static void disturb(
            LimitSharingFleet fleet, RandomGenerator random, int disturbanceInterval) {
        int daemon = random.nextInt(8);
        Member member = fleet.members().get(daemon);
        switch (random.nextInt(disturbanceInterval)) {
            case 0 -> fleet.daemon(daemon).pause(true);
            case 1, 2, 3 -> fleet.daemon(daemon).pause(false);
            case 4 -> fleet.restart(member);
            case 5 -> fleet.cutDomains(0, 1, true);
            case 6, 7 -> fleet.hub().restoreAll();
            case 8, 11, 12 -> believeDead(fleet, random, member);
            case 9, 10 ->
                    fleet.members()
                            .forEach(m -> daemonOf(fleet, m).memberView().set(fleet.members()));
            default -> {
                // No disturbance in this turn.
            }
        }
    }

    /**
     * Removes a random other daemon from the member view of one daemon, which then believes it
     * dead.
     */
    private static void believeDead(
            LimitSharingFleet fleet, RandomGenerator random, Member member) {
        List<Member> others = new ArrayList<>(fleet.members());
        others.remove(member);
        Member lost = others.remove(random.nextInt(others.size()));
        others.add(member);
        assertTrue(!lost.equals(member));
        daemonOf(fleet, member).memberView().set(others);
    }

    private static LimitSharingFleet.Daemon daemonOf(LimitSharingFleet fleet, Member member) {
        return fleet.daemon(fleet.members().indexOf(member));
    }
}
