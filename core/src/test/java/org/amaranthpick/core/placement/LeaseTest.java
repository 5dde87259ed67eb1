package org.amaranthpick.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.store.ReadResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Leases under pauses, deaths, lost answers and outages of the store. */
class LeaseTest {
    private static final Duration TAKEOVER = Duration.ofSeconds(25);
    private static final PlacementRig.Shape SHAPE = new PlacementRig.Shape(2, 3, 0, 0, true);

    private final PlacementRig mRig = new PlacementRig(SHAPE);

    private boolean isOwned(String domain) {
        Identity shard = Fleets.domain(domain);
        return mRig.mDaemons.values().stream()
                .anyMatch(d -> d.mRuns && d.mService.leases().containsKey(shard));
    }

    @Test
    void eachShardGetsOneOwnerOfItsOwnDomain() {
        mRig.run(Duration.ofMinutes(1));
        for (String domain : new String[] {"d0", "d1"}) {
            assertEquals(Fleets.domain(domain), mRig.owner(domain).mSelf.domain());
            assertEquals(1, mRig.fence(domain));
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anotherTakesOverFromAHolderThatStopped(boolean dead) {
        mRig.run(Duration.ofSeconds(30));
        PlacementRig.Daemon first = mRig.owner("d0");
        first.mRuns = false;
        first.mMember = !dead;
        mRig.runUntil(TAKEOVER, () -> isOwned("d0"));
        assertEquals(2, mRig.fence("d0"));
        first.mRuns = true;
        assertFalse(first.mService.leases().containsKey(Fleets.domain("d0")));
        mRig.run(Duration.ofMinutes(1));
        assertEquals(2, mRig.fence("d0"));
        assertNotEquals(first, mRig.owner("d0"));
    }

    @Test
    void lostAnswersAreSettledByTheWriterToken() {
        mRig.mDaemons.values().forEach(d -> d.mStore.mLosesAnswer = key -> true);
        mRig.run(Duration.ofMinutes(2));
        assertTrue(isOwned("d0") && isOwned("d1"));
        assertEquals(1, mRig.fence("d0"));
    }

    @Test
    void leavingHolderHandsOverAtOnce() {
        mRig.run(Duration.ofSeconds(30));
        PlacementRig.Daemon first = mRig.owner("d0");
        first.mService.close();
        first.die();
        mRig.runUntil(Duration.ofSeconds(10), () -> isOwned("d0"));
        assertEquals(2, mRig.fence("d0"));
    }

    @Test
    void domainWithoutDaemonsIsServedByTheNearestUntilTheyReturn() {
        mRig.run(Duration.ofSeconds(30));
        mRig.mDaemons.values().stream()
                .filter(d -> d.mSelf.domain().equals(Fleets.domain("d0")))
                .forEach(PlacementRig.Daemon::die);
        mRig.runUntil(TAKEOVER, () -> isOwned("d0"));
        assertEquals(Fleets.domain("d1"), mRig.owner("d0").mSelf.domain());
        mRig.mDaemons.values().stream()
                .filter(d -> !d.mMember)
                .forEach(
                        d -> {
                            d.mMember = true;
                            d.mRuns = true;
                            d.start();
                        });
        mRig.run(Duration.ofMinutes(2));
        assertEquals(Fleets.domain("d0"), mRig.owner("d0").mSelf.domain());
    }

    @Test
    void deletedLeaseObjectDoesNotLowerTheFence() {
        mRig.run(Duration.ofSeconds(30));
        PlacementRig.Daemon first = mRig.owner("d0");
        first.mRuns = false;
        mRig.runUntil(TAKEOVER, () -> isOwned("d0"));
        String key = "placement/lease/" + Fleets.domain("d0").key();
        mRig.mObjects
                .read(key)
                .thenAccept(
                        r -> {
                            var found = (ReadResult.Found) r;
                            mRig.mObjects.delete(key, found.object().version());
                        });
        mRig.run(Duration.ofMinutes(1));
        assertTrue(mRig.fence("d0") > 2);
    }

    @Test
    void storeCallsStayWithinTheBudgetAndDoNotRushAfterAnOutage() {
        mRig.run(Duration.ofSeconds(30));
        mRig.mDaemons.values().forEach(d -> d.mStore.mOut = true);
        mRig.run(Duration.ofHours(2));
        assertFalse(isOwned("d0"));
        mRig.mDaemons.values().forEach(d -> d.mStore.mOut = false);
        int before = mRig.mDaemons.values().stream().mapToInt(d -> d.mStore.calls()).sum();
        mRig.run(Duration.ofSeconds(10));
        int after = mRig.mDaemons.values().stream().mapToInt(d -> d.mStore.calls()).sum();
        assertTrue(after - before <= 10 * 2 * SHAPE.domains(), "calls " + (after - before));
        mRig.run(Duration.ofSeconds(90));
        assertTrue(isOwned("d0") && isOwned("d1"));
    }

    /** The rig itself asserts at each tick that no shard has two owners and no fence falls. */
    @Property(tries = 150, seed = "20260703")
    void atMostOneOwnerWhateverHappens(@ForAll long seed) {
        Random random = new Random(seed);
        PlacementRig rig = new PlacementRig(SHAPE);
        for (int round = 0; round < 25; round++) {
            for (PlacementRig.Daemon daemon : rig.mDaemons.values()) {
                daemon.mRuns = daemon.mMember && random.nextInt(4) != 0;
                daemon.mStore.mOut = random.nextInt(6) == 0;
                boolean loses = random.nextInt(4) == 0;
                daemon.mStore.mLosesAnswer = key -> loses;
                boolean late = random.nextInt(4) == 0;
                daemon.mStore.mAnswersLate = key -> late;
                daemon.mStore.mLateBy = Duration.ofMillis(random.nextInt(20_000));
                if (random.nextInt(12) == 0) {
                    daemon.start();
                }
            }
            rig.run(Duration.ofSeconds(1 + random.nextInt(25)));
        }
    }
}
