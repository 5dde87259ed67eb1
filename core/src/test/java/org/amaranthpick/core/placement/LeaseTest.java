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

/** Leases under daemon pauses and failures, lost replies and store outages. */
class LeaseTest {
    private static final Duration TAKEOVER = Duration.ofSeconds(25);
    private static final PlacementFixture.Shape SHAPE =
            new PlacementFixture.Shape(2, 3, 0, 0, true);

    private final PlacementFixture mFixture = new PlacementFixture(SHAPE);

    private boolean isOwned(String domain) {
        Identity shard = TestFleets.domain(domain);
        return mFixture.mDaemons.values().stream()
                .anyMatch(d -> d.mRunning && d.mService.leases().containsKey(shard));
    }

    @Test
    void eachShardIsOwnedByADaemonOfItsDomain() {
        mFixture.run(Duration.ofMinutes(1));
        for (String domain : new String[] {"d0", "d1"}) {
            assertEquals(TestFleets.domain(domain), mFixture.owner(domain).mSelf.domain());
            assertEquals(1, mFixture.fence(domain));
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anotherDaemonTakesOverFromAStoppedHolder(boolean dead) {
        mFixture.run(Duration.ofSeconds(30));
        PlacementFixture.Daemon first = mFixture.owner("d0");
        first.mRunning = false;
        first.mMember = !dead;
        mFixture.runUntil(TAKEOVER, () -> isOwned("d0"));
        assertEquals(2, mFixture.fence("d0"));
        first.mRunning = true;
        assertFalse(first.mService.leases().containsKey(TestFleets.domain("d0")));
        mFixture.run(Duration.ofMinutes(1));
        assertEquals(2, mFixture.fence("d0"));
        assertNotEquals(first, mFixture.owner("d0"));
    }

    @Test
    void lostRepliesAreResolvedByTheWriterToken() {
        mFixture.mDaemons.values().forEach(d -> d.mStore.mLosesReply = key -> true);
        mFixture.run(Duration.ofMinutes(2));
        assertTrue(isOwned("d0") && isOwned("d1"));
        assertEquals(1, mFixture.fence("d0"));
    }

    @Test
    void leavingHolderReleasesTheLeaseAtOnce() {
        mFixture.run(Duration.ofSeconds(30));
        PlacementFixture.Daemon first = mFixture.owner("d0");
        first.mService.close();
        first.crash();
        mFixture.runUntil(Duration.ofSeconds(10), () -> isOwned("d0"));
        assertEquals(2, mFixture.fence("d0"));
    }

    @Test
    void domainWithoutDaemonsIsServedByTheNearestDomainUntilTheyReturn() {
        mFixture.run(Duration.ofSeconds(30));
        mFixture.mDaemons.values().stream()
                .filter(d -> d.mSelf.domain().equals(TestFleets.domain("d0")))
                .forEach(PlacementFixture.Daemon::crash);
        mFixture.runUntil(TAKEOVER, () -> isOwned("d0"));
        assertEquals(TestFleets.domain("d1"), mFixture.owner("d0").mSelf.domain());
        mFixture.mDaemons.values().stream()
                .filter(d -> !d.mMember)
                .forEach(
                        d -> {
                            d.mMember = true;
                            d.mRunning = true;
                            d.start();
                        });
        mFixture.run(Duration.ofMinutes(2));
        assertEquals(TestFleets.domain("d0"), mFixture.owner("d0").mSelf.domain());
    }

    @Test
    void deletedLeaseObjectDoesNotLowerTheFence() {
        mFixture.run(Duration.ofSeconds(30));
        PlacementFixture.Daemon first = mFixture.owner("d0");
        first.mRunning = false;
        mFixture.runUntil(TAKEOVER, () -> isOwned("d0"));
        String key = "placement/lease/" + TestFleets.domain("d0").key();
        mFixture.mObjects
                .read(key)
                .thenAccept(
                        r -> {
                            var found = (ReadResult.Found) r;
                            mFixture.mObjects.delete(key, found.object().version());
                        });
        mFixture.run(Duration.ofMinutes(1));
        assertTrue(mFixture.fence("d0") > 2);
    }

    @Test
    void storeCallRateStaysBoundedAfterAnOutage() {
        mFixture.run(Duration.ofSeconds(30));
        mFixture.mDaemons.values().forEach(d -> d.mStore.mUnavailable = true);
        mFixture.run(Duration.ofHours(2));
        assertFalse(isOwned("d0"));
        mFixture.mDaemons.values().forEach(d -> d.mStore.mUnavailable = false);
        int before = mFixture.mDaemons.values().stream().mapToInt(d -> d.mStore.calls()).sum();
        mFixture.run(Duration.ofSeconds(10));
        int after = mFixture.mDaemons.values().stream().mapToInt(d -> d.mStore.calls()).sum();
        assertTrue(after - before <= 10 * 2 * SHAPE.domains(), "calls " + (after - before));
        mFixture.run(Duration.ofSeconds(90));
        assertTrue(isOwned("d0") && isOwned("d1"));
    }

    /** The fixture checks at each tick that no shard has two owners and that no fence decreases. */
    @Property(tries = 150, seed = "20260703")
    void atMostOneOwnerUnderRandomFaults(@ForAll long seed) {
        Random random = new Random(seed);
        PlacementFixture fixture = new PlacementFixture(SHAPE);
        for (int round = 0; round < 25; round++) {
            for (PlacementFixture.Daemon daemon : fixture.mDaemons.values()) {
                daemon.mRunning = daemon.mMember && random.nextInt(4) != 0;
                daemon.mStore.mUnavailable = random.nextInt(6) == 0;
                boolean loses = random.nextInt(4) == 0;
                daemon.mStore.mLosesReply = key -> loses;
                boolean late = random.nextInt(4) == 0;
                daemon.mStore.mDelaysReply = key -> late;
                daemon.mStore.mReplyDelay = Duration.ofMillis(random.nextInt(20_000));
                if (random.nextInt(12) == 0) {
                    daemon.start();
                }
            }
            fixture.run(Duration.ofSeconds(1 + random.nextInt(25)));
        }
    }
}
