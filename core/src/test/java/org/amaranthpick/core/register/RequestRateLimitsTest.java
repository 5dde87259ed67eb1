package org.amaranthpick.core.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays fleets of daemons that all send to one upstream, which names a limit. */
class RequestRateLimitsTest {
    private static final String ENGINE = "e-1";
    private static final long STEP_NS = Duration.ofMillis(10).toNanos();
    private static final double WINDOW_S = 4;

    /** Tolerated excess in each window: factor on what the limit allows, and requests on top. */
    private static final double MAX_FACTOR = 1.5;

    private static final int MAX_EXTRA = 5;

    private final SplittableRandom mRandom = new SplittableRandom(5);
    private final List<RequestRateLimits> mDaemons = new ArrayList<>();
    private final Deque<Long> mSentNs = new ArrayDeque<>();
    private long mNowNs;
    private int mSent;
    private int mMostInWindow;

    private void createDaemons(int daemons) {
        List<String> addresses = IntStream.range(0, daemons).mapToObj(i -> "d" + i).toList();
        for (String self : addresses) {
            List<String> others = addresses.stream().filter(a -> !a.equals(self)).toList();
            mDaemons.add(
                    new RequestRateLimits(
                            self, () -> others, () -> daemons, id -> true, mRandom.split()));
        }
    }

    private void tellAll(OptionalDouble limit) {
        mDaemons.forEach(daemon -> daemon.onResponse(ENGINE, limit, mNowNs));
    }

    /** Offers requests at random daemons, and counts those that are sent. */
    private void play(Duration length, double offeredPerS, double limit) {
        long endNs = mNowNs + length.toNanos();
        while (mNowNs < endNs) {
            mNowNs += STEP_NS;
            double offered = offeredPerS * STEP_NS / 1e9;
            for (double i = mRandom.nextDouble(); i < offered; i++) {
                offer(mDaemons.get(mRandom.nextInt(mDaemons.size())), limit);
            }
        }
    }

    private void offer(RequestRateLimits daemon, double limit) {
        if (!daemon.allows(ENGINE, mNowNs)) {
            return;
        }
        daemon.onSent(ENGINE, mNowNs);
        daemon.onResponse(ENGINE, OptionalDouble.of(limit), mNowNs);
        mSent++;
        mSentNs.addLast(mNowNs);
        while (mNowNs - mSentNs.peekFirst() > WINDOW_S * 1e9) {
            mSentNs.removeFirst();
        }
        mMostInWindow = Math.max(mMostInWindow, mSentNs.size());
    }

    @ParameterizedTest
    @CsvSource({
        "12,0.5", "12,1.9", "12,8.7", "12,60", "100,0.5", "100,1.9", "100,8.7", "100,60", "440,0.5",
        "440,1.9", "440,8.7", "440,60"
    })
    void allDaemonsTogetherKeepToTheRateAndUseMostOfIt(int daemons, double limit) {
        createDaemons(daemons);
        tellAll(OptionalDouble.of(limit));
        play(Duration.ofSeconds(60), 20 * limit + 4 * daemons, limit);
        double allowed = MAX_FACTOR * limit * WINDOW_S + MAX_EXTRA;
        assertTrue(mMostInWindow <= allowed, mMostInWindow + " of " + allowed);
        assertTrue(mSent >= 0.7 * limit * 60, mSent + " sent of " + limit * 60);
    }

    /** What daemons may have saved up must not add up to a burst. */
    @ParameterizedTest
    @CsvSource({"12,0", "12,0.5", "12,8.7", "100,1.9", "100,8.7", "440,0.5", "440,1.9", "440,8.7"})
    void aSurgeAfterAQuietTimeKeepsToTheRate(int daemons, double limit) {
        createDaemons(daemons);
        tellAll(OptionalDouble.of(limit));
        mNowNs += Duration.ofMinutes(20).toNanos();
        play(Duration.ofSeconds(10), 400 + 50.0 * daemons, limit);
        double allowed = MAX_FACTOR * limit * WINDOW_S + MAX_EXTRA;
        assertTrue(mMostInWindow <= allowed, mMostInWindow + " of " + allowed);
    }

    @Test
    void theEndOfALimitOfZeroIsNoticed() {
        createDaemons(12);
        tellAll(OptionalDouble.of(0));
        play(Duration.ofSeconds(60), 50, 0);
        assertTrue(mSent > 0, "no request asked for the limit");
    }

    @Test
    void anUpstreamThatNamesNoLimitGetsAllRequests() {
        createDaemons(12);
        tellAll(OptionalDouble.of(0.5));
        tellAll(OptionalDouble.empty());
        assertTrue(mDaemons.stream().allMatch(daemon -> daemon.allows(ENGINE, mNowNs)));
    }

    @Test
    void theEndOfALimitIsReportedOnceAndAppliedByOthers() {
        createDaemons(2);
        tellAll(OptionalDouble.of(0));
        List<String> reported = new ArrayList<>();
        mDaemons.get(0).setListener(reported::add);
        mDaemons.get(0).onResponse(ENGINE, OptionalDouble.empty(), mNowNs);
        mDaemons.get(0).onResponse(ENGINE, OptionalDouble.empty(), mNowNs);
        assertEquals(List.of(ENGINE), reported);
        assertTrue(mDaemons.get(1).onReportedUnlimited(ENGINE));
        assertFalse(mDaemons.get(1).onReportedUnlimited(ENGINE));
        assertTrue(mDaemons.get(1).allows(ENGINE, mNowNs));
    }

    /** A daemon that has just started knows none of the others. */
    @Test
    void aDaemonWithoutAListTakesOnlyItsPartOfAll() {
        RequestRateLimits daemon =
                new RequestRateLimits("d0", List::of, () -> 150, id -> true, mRandom.split());
        mDaemons.add(daemon);
        daemon.onResponse(ENGINE, OptionalDouble.of(15), mNowNs);
        play(Duration.ofSeconds(100), 50, 15);
        assertTrue(mSent <= 12, mSent + " sent");
    }
}
