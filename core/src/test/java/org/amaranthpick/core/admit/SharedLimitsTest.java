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
    private static final WorkspaceSpec.Limits WIDE = new WorkspaceSpec.Limits(1e6, 1e7, 30);

    private static void run(LimitFleet fleet, int seconds, int[] loaded) {
        for (int ms = 0; ms < seconds * 1_000; ms += 50) {
            for (int daemon : loaded) {
                fleet.daemon(daemon).start(TOKENS);
            }
            fleet.advance(Duration.ofMillis(50));
        }
    }

    /**
     * Places are used wherever the demand arises: all of them by all daemons, two thirds by those
     * of one or two domains; a tenth may be idle while a fifth of the messages is lost.
     */
    @ParameterizedTest
    @CsvSource({"1, 0", "6, 0", "12, 0", "1, 0.2", "12, 0.2"})
    void demandFindsThePlaces(int loadedDaemons, double loss) {
        LimitFleet fleet = new LimitFleet(3, 4, WIDE, new Random(5), loss);
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

    /** A domain cut off uses its own part and no more; after the cut all is there again. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void domainCutOffKeepsItsOwnPart(int loadedDaemons) {
        LimitFleet fleet = new LimitFleet(3, 4, WIDE, new Random(6), 0);
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

    /** Rates hold over all daemons together and are used in full. */
    @ParameterizedTest
    @CsvSource({"60, 1e6, 1", "60, 1e6, 12", "1e6, 600, 12", "3, 1e6, 12"})
    void ratesHoldOverAllDaemons(double requests, double tokens, int loadedDaemons) {
        WorkspaceSpec.Limits limits = new WorkspaceSpec.Limits(requests, tokens, 100_000);
        LimitFleet fleet = new LimitFleet(3, 4, limits, new Random(7), 0);
        int[] loaded = new int[loadedDaemons];
        for (int i = 0; i < loadedDaemons; i++) {
            loaded[i] = i;
        }
        run(fleet, 20, loaded);
        int before = fleet.started();
        run(fleet, 60, loaded);
        double perSecond = (fleet.started() - before) / 60.0;
        double bound = Math.min(requests, tokens / TOKENS);
        assertTrue(perSecond <= bound * 1.1, perSecond + " of " + bound + " requests/s");
        double share = loadedDaemons == 1 ? 0.3 : 0.85;
        double offered = loadedDaemons * 20.0;
        assertTrue(
                perSecond >= share * Math.min(bound, offered),
                perSecond + " of " + bound + " requests/s");
    }

    /**
     * Whatever is lost, doubled, late, cut off, paused, restarted or believed dead for a while: the
     * places that all daemons may fill never exceed the limit.
     */
    @Property(seed = "20260107", tries = 50)
    void sharesNeverExceedTheLimit(
            @ForAll int seed, @ForAll @IntRange(min = 1, max = 40) int places) {
        RandomGenerator random = new Random(seed);
        double loss = random.nextInt(4) * 0.1;
        WorkspaceSpec.Limits limits = new WorkspaceSpec.Limits(1e6, 1e7, places);
        LimitFleet fleet = new LimitFleet(2, 4, limits, random, loss);
        int calm = random.nextBoolean() ? 60 : 400;
        for (int turn = 0; turn < 1_600; turn++) {
            disturb(fleet, random, calm);
            for (int daemon = 0; daemon < 8; daemon++) {
                LimitFleet.Daemon one = fleet.daemon(daemon);
                if (!one.isPaused() && random.nextInt(3) == 0) {
                    one.start(TOKENS);
                } else if (!one.isPaused() && random.nextInt(4) == 0) {
                    one.finish(TOKENS);
                }
            }
            fleet.advance(Duration.ofMillis(25));
            int shared = fleet.places();
            assertTrue(shared <= places, shared + " places of " + places + " in turn " + turn);
        }
        assertEquals(0, fleet.invariants().total());
    }

    private static void disturb(LimitFleet fleet, RandomGenerator random, int calm) {
        int daemon = random.nextInt(8);
        Member member = fleet.all().get(daemon);
        switch (random.nextInt(calm)) {
            case 0 -> fleet.daemon(daemon).pause(true);
            case 1, 2, 3 -> fleet.daemon(daemon).pause(false);
            case 4 -> fleet.restart(member);
            case 5 -> fleet.cutDomains(0, 1, true);
            case 6, 7 -> fleet.hub().heal();
            case 8, 11, 12 -> believe(fleet, random, member);
            case 9, 10 -> fleet.all().forEach(m -> membersOf(fleet, m).members().set(fleet.all()));
            default -> {
                // Nothing goes wrong.
            }
        }
    }

    /** One daemon believes another of its domain dead. */
    private static void believe(LimitFleet fleet, RandomGenerator random, Member member) {
        List<Member> others = new ArrayList<>(fleet.all());
        others.remove(member);
        Member lost = others.remove(random.nextInt(others.size()));
        others.add(member);
        assertTrue(!lost.equals(member));
        membersOf(fleet, member).members().set(others);
    }

    private static LimitFleet.Daemon membersOf(LimitFleet fleet, Member member) {
        return fleet.daemon(fleet.all().indexOf(member));
    }
}
