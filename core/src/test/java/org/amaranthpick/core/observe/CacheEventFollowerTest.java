package org.amaranthpick.core.observe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.amaranthpick.core.member.FixedMembers;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.peer.LossyPeerNetwork;
import org.amaranthpick.core.route.FleetFixture;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.core.upstream.CacheEvent;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CacheEventFollowerTest {
    private static final Identity ENGINE = FleetFixture.engine("e");

    private final VirtualScheduler mScheduler = new VirtualScheduler(FleetFixture.ORIGIN);
    private final FleetFixture mFleet =
            new FleetFixture().withDomain("kl-a", "kl").withEngine("e", "kl-a", 1, 0, 40);
    private final FakeUpstreams mUpstreams = new FakeUpstreams();
    private Observation mObservation;

    @BeforeEach
    void start() {
        Identity host = FleetFixture.id(ResourceKind.HOST, "h");
        Member self = FixedMembers.member(host, FleetFixture.domain("kl-a"), "kl");
        LossyPeerNetwork hub =
                new LossyPeerNetwork(mScheduler, new Random(1), 0, ObserveCodecs.all());
        mFleet.build();
        mObservation =
                new Observation(
                        new Observation.Context(
                                mFleet.board(),
                                () -> Optional.of(mFleet.configuration()),
                                new FixedMembers(host, List.of(self)),
                                mUpstreams,
                                hub.network(host),
                                mScheduler,
                                DigestSettings.DEFAULT));
        step(0);
    }

    private void step(long reportedSequence) {
        mUpstreams.set(mFleet.spec("e"), 0, 0, false, reportedSequence);
        mObservation.controllers().forEach(controller -> controller.step());
    }

    private void deliver(String bootId, long sequence, boolean stored, Long... hashes) {
        mUpstreams.deliver(new CacheEvent(bootId, sequence, stored, List.of(hashes)));
    }

    private PrefixIndex.Match match(Long... hashes) {
        return mObservation.prefixes().match(ENGINE, List.of(hashes), hashes.length);
    }

    @Test
    void prefixesFromEventsInOrderAreCertain() {
        deliver("b", 1, true, 11L, 12L);
        deliver("b", 2, true, 13L);
        deliver("b", 3, false, 13L);
        assertEquals(new PrefixIndex.Match(2, true), match(11L, 12L, 13L));
    }

    /** Late events fill a gap; prefixes recorded before the gap stay uncertain. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 10})
    void gapMakesPrefixesUncertain(int lastMissingSequence) {
        deliver("b", 1, true, 11L);
        deliver("b", lastMissingSequence + 1, true, 12L);
        assertFalse(match(11L).certain());
        for (int late = 2; late <= lastMissingSequence; late++) {
            deliver("b", late, true, 100L + late);
        }
        assertTrue(match(12L).certain());
        assertEquals(1, match(12L).blocks());
    }

    /**
     * If a gap is not filled in time, the engine is subscribed to again after the last applied
     * event. Prefixes recorded before the gap are removed if later events were buffered.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void lostEventsCauseNewSubscription(boolean laterEvents) {
        deliver("b", 1, true, 11L);
        if (laterEvents) {
            deliver("b", 5, true, 12L);
        }
        for (int i = 0; i < 8; i++) {
            mScheduler.advance(Duration.ofSeconds(1));
            step(6);
        }
        int lastIndex = mUpstreams.subscriptions().size() - 1;
        assertTrue(lastIndex >= 1);
        assertEquals(laterEvents ? 5 : 1, mUpstreams.subscriptions().get(lastIndex).after());
        assertEquals(laterEvents ? 0 : 1, match(11L).blocks());
    }

    @Test
    void engineRestartInvalidatesPrefixes() {
        deliver("b", 7, true, 11L);
        deliver("c", 1, true, 12L);
        assertEquals(0, match(11L).blocks());
        assertEquals(1, match(12L).blocks());
    }

    @Test
    void eventsOfReplacedSubscriptionAreIgnored() {
        deliver("b", 1, true, 11L);
        FakeUpstreams.Subscription old = mUpstreams.subscriptions().get(0);
        old.listener().onEnded("connection closed");
        step(1);
        old.listener().onEvent(new CacheEvent("b", 2, false, List.of(11L)));
        assertEquals(1, match(11L).blocks());
    }
}
