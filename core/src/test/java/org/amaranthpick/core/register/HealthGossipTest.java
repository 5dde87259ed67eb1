package org.amaranthpick.core.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;

/** Replays the loss of many engines in a fleet of 95 daemons with 216 engines. */
class HealthGossipTest {
    private static final int DAEMONS = 95;
    private static final int ENGINES = 216;
    private static final int DEAD = 27;
    private static final int ENGINES_PER_CHAIN = 8;
    private static final double REQUESTS_PER_S = 2.5;
    private static final Duration PEER_DELAY = Duration.ofMillis(1);

    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final SplittableRandom mRandom = new SplittableRandom(11);
    private final List<UpstreamHealth> mHealth = new ArrayList<>();
    private final Map<String, HealthGossip> mGossip = new HashMap<>();
    private final Set<String> mCutOff = new HashSet<>();
    private int mMessages;

    private void createDaemons(boolean connected) {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < DAEMONS; i++) {
            addresses.add("d" + i);
        }
        for (String self : addresses) {
            UpstreamHealth health = new UpstreamHealth();
            List<String> others = addresses.stream().filter(a -> !a.equals(self)).toList();
            Supplier<List<String>> peers = () -> connected ? others : List.of();
            mHealth.add(health);
            mGossip.put(
                    self,
                    new HealthGossip(
                            self,
                            health,
                            () -> ENGINES,
                            peers,
                            this::deliver,
                            mScheduler,
                            mRandom.split()));
        }
    }

    private void deliver(String address, List<HealthNote> notes) {
        mMessages++;
        if (!mCutOff.contains(address)) {
            mScheduler.schedule(PEER_DELAY, () -> mGossip.get(address).onNotes(notes));
        }
    }

    /** Plays requests that draw chains at random, and counts those that met a dead engine. */
    private int playRequests(Duration length) {
        int failed = 0;
        int requests = (int) (DAEMONS * REQUESTS_PER_S * length.toMillis() / 1000);
        for (int i = 0; i < requests; i++) {
            mScheduler.advance(length.dividedBy(requests));
            failed += sendOne(mRandom.nextInt(DAEMONS)) ? 1 : 0;
        }
        return failed;
    }

    private boolean sendOne(int daemon) {
        UpstreamHealth health = mHealth.get(daemon);
        long nowNs = mScheduler.monotonicNs();
        List<String> chain = new ArrayList<>();
        while (chain.size() < ENGINES_PER_CHAIN) {
            int engine = mRandom.nextInt(ENGINES);
            if (!health.excluded("e" + engine, nowNs)) {
                chain.add("e" + engine);
            }
        }
        for (String engine : chain) {
            if (Integer.parseInt(engine.substring(1)) < DEAD) {
                health.onBusy(engine, nowNs);
                return true;
            }
        }
        chain.forEach(engine -> health.onSuccess(engine, nowNs));
        return false;
    }

    /** Alone, each daemon must find all dead engines; together the fleet finds each once. */
    @Test
    void deadEnginesCostAFractionOfTheRequestsThatTheyCostWithoutGossip() {
        createDaemons(false);
        int alone = playRequests(Duration.ofSeconds(4));
        mHealth.clear();
        mGossip.clear();
        createDaemons(true);
        int together = playRequests(Duration.ofSeconds(4));
        assertTrue(together * 3 < alone, together + " against " + alone);
    }

    /** The gossip itself must stay small: a few messages a second and daemon, while engines die. */
    @Test
    void theNumberOfMessagesIsBounded() {
        createDaemons(true);
        playRequests(Duration.ofSeconds(4));
        assertTrue(mMessages < DAEMONS * 4 * 60, mMessages + " messages");
    }

    @Test
    void anObservationReachesNearlyAllDaemonsWithinAFewHops() {
        createDaemons(true);
        mHealth.get(0).onUnreachable("e7", mScheduler.monotonicNs());
        mScheduler.advance(Duration.ofMillis(200));
        long informed =
                mHealth.stream().filter(h -> h.excluded("e7", mScheduler.monotonicNs())).count();
        assertTrue(informed > DAEMONS * 0.9, informed + " daemons know");
    }

    /** A daemon that is cut off from all engines must not turn the others away from them. */
    @Test
    void aDaemonThatAccusesAllIsBelievedOfFewOnly() {
        createDaemons(true);
        for (int engine = 0; engine < ENGINES; engine++) {
            mHealth.get(0).onUnreachable("e" + engine, mScheduler.monotonicNs());
        }
        mScheduler.advance(Duration.ofMillis(100));
        long excluded = 0;
        for (int engine = 0; engine < ENGINES; engine++) {
            excluded += mHealth.get(1).excluded("e" + engine, mScheduler.monotonicNs()) ? 1 : 0;
        }
        assertTrue(excluded <= ENGINES / 8, excluded + " engines excluded");
    }

    @Test
    void anOwnSuccessOutweighsWhatOthersReport() {
        createDaemons(true);
        mHealth.get(1).onSuccess("e7", mScheduler.monotonicNs());
        mHealth.get(0).onUnreachable("e7", mScheduler.monotonicNs());
        mScheduler.advance(Duration.ofMillis(200));
        assertFalse(mHealth.get(1).excluded("e7", mScheduler.monotonicNs()));
    }

    /** Reports of others are not reported again, or they would go round forever. */
    @Test
    void aReportEndsOnceAllKnowIt() {
        createDaemons(true);
        mHealth.get(0).onUnreachable("e7", mScheduler.monotonicNs());
        mScheduler.advance(Duration.ofSeconds(1));
        int messages = mMessages;
        mScheduler.advance(Duration.ofSeconds(10));
        assertEquals(messages, mMessages);
        assertTrue(messages <= DAEMONS * HealthGossip.FAN_OUT, messages + " messages");
    }

    @Test
    void aDaemonThatCannotBeReachedStopsNothing() {
        createDaemons(true);
        mCutOff.add("d1");
        mHealth.get(0).onUnreachable("e7", mScheduler.monotonicNs());
        mScheduler.advance(Duration.ofMillis(200));
        assertTrue(mHealth.get(2).excluded("e7", mScheduler.monotonicNs()));
        assertFalse(mHealth.get(1).excluded("e7", mScheduler.monotonicNs()));
    }

    /** A lost answer says nothing about the engine's other requests, here or elsewhere. */
    @Test
    void aFailedRequestIsNotReported() {
        createDaemons(true);
        mHealth.get(0).onFailure("e7", mScheduler.monotonicNs());
        mScheduler.advance(Duration.ofSeconds(1));
        assertEquals(0, mMessages);
    }

    /** What others report excludes an engine from new requests, but orders no layers elsewhere. */
    @Test
    void reportsDontMoveLayers() {
        createDaemons(true);
        mHealth.get(0).onUnreachable("e7", mScheduler.monotonicNs());
        mScheduler.advance(Duration.ofMillis(200));
        long nowNs = mScheduler.monotonicNs();
        assertTrue(mHealth.get(1).excluded("e7", nowNs) || mHealth.get(2).excluded("e7", nowNs));
        for (int i = 1; i < DAEMONS; i++) {
            assertFalse(mHealth.get(i).excludedForFailure("e7", nowNs));
            assertFalse(mHealth.get(i).failing("e7"));
        }
    }

    private List<LeavingNotices> observeLeaving() {
        List<LeavingNotices> notices = new ArrayList<>();
        for (int i = 0; i < DAEMONS; i++) {
            LeavingNotices leaving = new LeavingNotices();
            notices.add(leaving);
            mGossip.get("d" + i).observe(leaving);
        }
        return notices;
    }

    private static UpstreamEntry entry(int engine) {
        return new UpstreamEntry(
                "e" + engine,
                "llm",
                "10.0.0.1:80",
                "z",
                false,
                1,
                Optional.empty(),
                Optional.empty(),
                1,
                0);
    }

    private long leavingAt(List<LeavingNotices> notices, int daemon) {
        return IntStream.range(0, ENGINES)
                .filter(i -> notices.get(daemon).isLeaving(entry(i), mScheduler.monotonicNs()))
                .count();
    }

    /** Each daemon sees few answers, and learns from others which engines are leaving. */
    @Test
    void aNoticeOfLeavingReachesNearlyAllDaemonsAndNoneThatIsCutOff() {
        createDaemons(true);
        mCutOff.add("d7");
        List<LeavingNotices> notices = observeLeaving();
        for (int engine = 0; engine < 10; engine++) {
            notices.get(engine * 3).onNotice(entry(engine));
        }
        mScheduler.advance(Duration.ofMillis(500));
        long known = 0;
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            known += leavingAt(notices, daemon);
        }
        assertTrue(known >= 0.95 * 10 * (DAEMONS - 1), known + " notices are known");
        assertEquals(0, leavingAt(notices, 7));
    }

    @Test
    void falseNoticesOfOneDaemonDoNotEmptyTheFleet() {
        createDaemons(true);
        List<LeavingNotices> notices = observeLeaving();
        for (int engine = 0; engine < ENGINES; engine++) {
            notices.get(3).onNotice(entry(engine));
        }
        mScheduler.advance(Duration.ofMillis(500));
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            long most = daemon == 3 ? ENGINES : ENGINES / 8;
            assertTrue(leavingAt(notices, daemon) <= most, "at " + daemon);
        }
        mScheduler.advance(LeavingNotices.REPORT_LIFETIME);
        assertEquals(0, leavingAt(notices, 4));
    }
}
