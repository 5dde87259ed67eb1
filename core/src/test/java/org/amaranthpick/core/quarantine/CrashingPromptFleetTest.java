package org.amaranthpick.core.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays requests that crash engines in fleets of daemons, also while some are cut off. */
class CrashingPromptFleetTest {
    private static final Duration PEER_DELAY = Duration.ofMillis(1);
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(500);
    private static final Duration CRASH_DELAY = Duration.ofMillis(100);
    private static final Duration QUERY_DELAY = Duration.ofMillis(2);
    private static final Duration STABLE_WINDOW = Duration.ofSeconds(3);
    private static final Duration DAY = Duration.ofSeconds(30);

    /** Sends of one request, first and repeated. */
    private static final int SENDS = 3;

    /** Sound requests that each crash cuts off. */
    private static final int CUT_OFF_BY_CRASH = 12;

    private static final double CRASHING_PER_S = 6;
    private static final double SOUND_PER_S = 45;
    private static final int SOUND_PARTS = 60;

    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private SplittableRandom mRandom = new SplittableRandom(23);
    private final List<PromptQuarantine> mQuarantines = new ArrayList<>();
    private final List<QuarantineGossip> mGossip = new ArrayList<>();
    private final List<Long> mCrashesNs = new ArrayList<>();
    private final List<Long> mReachedNs = new ArrayList<>();
    private int mDaemons;
    private int mCutOff;
    private int mSoundRefused;
    private int mRequests;

    private void createDaemons(int daemons, int cutOff) {
        mDaemons = daemons;
        mCutOff = cutOff;
        for (int i = 0; i < daemons; i++) {
            mQuarantines.add(new PromptQuarantine());
            mGossip.add(null);
            startGossip(i);
        }
    }

    private void startGossip(int daemon) {
        List<String> peers =
                IntStream.range(0, mDaemons)
                        .filter(peer -> peer != daemon)
                        .mapToObj(Integer::toString)
                        .toList();
        mGossip.set(
                daemon,
                new QuarantineGossip(
                        Integer.toString(daemon),
                        mQuarantines.get(daemon),
                        () -> peers,
                        (peer, message, onFailed) ->
                                deliver(daemon, Integer.parseInt(peer), message, onFailed),
                        mScheduler,
                        mRandom.split()));
    }

    private void deliver(int from, int to, QuarantineMessage message, Runnable onFailed) {
        if ((from < mCutOff) == (to < mCutOff)) {
            mScheduler.schedule(PEER_DELAY, () -> mGossip.get(to).onMessage(message));
        } else {
            mScheduler.schedule(PEER_TIMEOUT, onFailed);
        }
    }

    /** Sends a crashing request to an engine unless its daemon has quarantined it. */
    private void sendCrashing(int daemon, List<String> parts, int sends) {
        long nowNs = mScheduler.monotonicNs();
        if (mQuarantines.get(daemon).timeLeft(parts, nowNs).isPresent()) {
            return;
        }
        mReachedNs.add(nowNs);
        mScheduler.schedule(CRASH_DELAY, () -> crash(daemon, parts, sends));
    }

    private void crash(int daemon, List<String> parts, int sends) {
        mCrashesNs.add(mScheduler.monotonicNs());
        String engine = "e" + mCrashesNs.size();
        lose(daemon, engine, parts);
        for (int i = 0; i < CUT_OFF_BY_CRASH; i++) {
            int other = mRandom.nextInt(mDaemons);
            if ((other < mCutOff) == (daemon < mCutOff)) {
                lose(other, engine, parts("sound" + mRandom.nextInt(SOUND_PARTS)));
            }
        }
        if (sends < SENDS) {
            mScheduler.schedule(QUERY_DELAY, () -> sendCrashing(daemon, parts, sends + 1));
        }
    }

    /** Returns the parts of a request of its own. */
    private List<String> parts(String part) {
        return List.of("first", part, PromptQuarantine.requestPart("r" + mRequests++));
    }

    private void lose(int daemon, String engine, List<String> parts) {
        mScheduler.schedule(
                QUERY_DELAY,
                () -> mQuarantines.get(daemon).onCrash(engine, parts, mScheduler.monotonicNs()));
    }

    private void sendSound(int daemon) {
        List<String> parts = parts("sound" + mRandom.nextInt(SOUND_PARTS));
        PromptQuarantine quarantine = mQuarantines.get(daemon);
        if (quarantine.timeLeft(parts, mScheduler.monotonicNs()).isPresent()) {
            mSoundRefused++;
        } else {
            quarantine.onAnswered(parts, mScheduler.monotonicNs());
        }
    }

    /** Plays both kinds of requests, each at a random daemon. */
    private int play(Duration length) {
        Duration step = Duration.ofMillis(10);
        int sound = 0;
        for (long i = 0; i < length.dividedBy(step); i++) {
            mScheduler.advance(step);
            double seconds = step.toMillis() / 1000.0;
            if (mRandom.nextDouble() < CRASHING_PER_S * seconds) {
                sendCrashing(mRandom.nextInt(mDaemons), parts("bad"), 1);
            }
            if (mRandom.nextDouble() < SOUND_PER_S * seconds) {
                sound++;
                sendSound(mRandom.nextInt(mDaemons));
            }
        }
        return sound;
    }

    private boolean isQuarantined(PromptQuarantine quarantine, String part) {
        return quarantine.timeLeft(List.of(part), mScheduler.monotonicNs()).isPresent();
    }

    private long reachedLate() {
        Optional<Long> fifthNs = mCrashesNs.stream().skip(4).findFirst();
        return mReachedNs.stream()
                .filter(atNs -> fifthNs.isPresent())
                .filter(atNs -> atNs > fifthNs.get() + STABLE_WINDOW.toNanos())
                .count();
    }

    @ParameterizedTest
    @CsvSource({
        "12,0,23",
        "12,1,23",
        "12,4,23",
        "100,0,23",
        "100,1,23",
        "100,33,23",
        "440,0,23",
        "440,1,23",
        "440,147,23",
        "12,1,9",
        "100,1,9",
        "440,1,9",
        "100,1,11"
    })
    void fewCrashingRequestsReachEnginesOnceFiveHaveCrashed(int daemons, int cutOff, long seed) {
        mRandom = new SplittableRandom(seed);
        createDaemons(daemons, cutOff);
        int sound = play(DAY);
        assertTrue(mCrashesNs.size() >= PromptQuarantine.CRASHES_OF_QUARANTINE);
        assertTrue(reachedLate() <= 3, reachedLate() + " requests reached engines");
        assertTrue(mSoundRefused * 100 < sound, mSoundRefused + " of " + sound + " sound refused");
        long falsely = mQuarantines.stream().filter(q -> isQuarantined(q, "first")).count();
        assertEquals(0, falsely, "daemons refuse what sound requests have in common");
    }

    /** A part of sound requests that is quarantined by chance must be released again. */
    @ParameterizedTest
    @CsvSource({"12,0", "12,1", "12,4", "100,0", "100,1", "100,33", "440,0", "440,1", "440,147"})
    void noDaemonKeepsAPartOfSoundRequestsInQuarantine(int daemons, int cutOff) {
        createDaemons(daemons, cutOff);
        play(DAY);
        List<String> soundParts = new ArrayList<>(List.of("first"));
        IntStream.range(0, SOUND_PARTS).forEach(i -> soundParts.add("sound" + i));
        long falsely =
                mQuarantines.stream()
                        .filter(q -> q.timeLeft(soundParts, mScheduler.monotonicNs()).isPresent())
                        .count();
        assertEquals(0, falsely, "daemons hold sound parts in quarantine at the end");
    }

    /** A daemon that was killed has forgotten what it knew, and asks the others. */
    @ParameterizedTest
    @CsvSource({"12", "100", "440"})
    void aDaemonThatStartsAgainSendsNoCrashingRequests(int daemons) {
        createDaemons(daemons, 0);
        play(Duration.ofSeconds(10));
        int reached = mReachedNs.size();
        for (int i = 0; i < daemons / 2; i++) {
            mQuarantines.set(i, new PromptQuarantine());
            startGossip(i);
            mGossip.get(i).requestAll();
        }
        mScheduler.advance(Duration.ofMillis(100));
        play(Duration.ofSeconds(10));
        assertEquals(reached, mReachedNs.size());
    }
}
