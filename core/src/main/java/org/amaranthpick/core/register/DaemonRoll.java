package org.amaranthpick.core.register;

import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.Scheduler;

/**
 * Counts the daemons that ever signed in, so that each takes no more than its part of what all
 * share. Daemons that are gone stay counted: the parts then add up to less than the whole, never to
 * more.
 */
public final class DaemonRoll {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String PREFIX = "gateways/";

    /** Daemons assumed until the roll was read. */
    private static final int ASSUMED = 150;

    private static final Duration FIRST_READ = Duration.ofMillis(2500);
    private static final Duration READ_PERIOD = Duration.ofSeconds(20);
    private static final Duration RETRY = Duration.ofSeconds(2);

    private final ObjectStore mStore;
    private final WriterTokens mWriters;
    private final String mHost;
    private final Scheduler mScheduler;
    private final Executor mExecutor;
    private final RandomGenerator mRandom;
    private int mCount = ASSUMED;
    private IntConsumer mOnCount = count -> {};
    private boolean mSignedIn;

    /**
     * Creates a roll.
     *
     * @param store object API of the platform
     * @param writers source of writer tokens
     * @param host name of this host
     * @param scheduler clocks and timers
     * @param executor runs everything, one task at a time
     * @param random source of jitter
     */
    public DaemonRoll(
            ObjectStore store,
            WriterTokens writers,
            String host,
            Scheduler scheduler,
            Executor executor,
            RandomGenerator random) {
        mStore = store;
        mWriters = writers;
        mHost = host;
        mScheduler = scheduler;
        mExecutor = executor;
        mRandom = random;
    }

    /**
     * Signs in and starts to count.
     *
     * @param onCount told of each count
     */
    public void start(IntConsumer onCount) {
        mOnCount = onCount;
        signIn();
    }

    /**
     * Returns the number of daemons.
     *
     * @return 1 or more; a high guess before the first count
     */
    public int count() {
        return mCount;
    }

    private void signIn() {
        byte[] value = "{}".getBytes(StandardCharsets.UTF_8);
        mStore.write(PREFIX + mHost, new WriteCondition.Absent(), value, mWriters.next())
                .thenAccept(result -> mExecutor.execute(() -> onSignedIn(result)));
    }

    private void onSignedIn(WriteResult result) {
        mSignedIn = result instanceof WriteResult.Applied || result instanceof WriteResult.Conflict;
        if (!mSignedIn) {
            sLogger.atInfo().log("roll: not signed in yet, %s", result);
        }
        mScheduler.schedule(jittered(mSignedIn ? FIRST_READ : RETRY), this::next);
    }

    private void next() {
        if (mSignedIn) {
            mStore.list(PREFIX).thenAccept(list -> mExecutor.execute(() -> onListed(list)));
        } else {
            signIn();
        }
    }

    private void onListed(ListResult result) {
        if (result instanceof ListResult.Listed listed) {
            int count = Math.max(1, listed.objects().size());
            if (count != mCount) {
                sLogger.atInfo().log("roll: daemons=%d before=%d", count, mCount);
            }
            mCount = count;
            mOnCount.accept(count);
        }
        mScheduler.schedule(jittered(READ_PERIOD), this::next);
    }

    private Duration jittered(Duration delay) {
        return Duration.ofNanos(mRandom.nextLong(delay.toNanos() / 2, delay.toNanos() + 1));
    }
}
