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
 * Counts the daemons that have ever registered, so that each can compute its share of a common
 * limit. Daemons that are gone remain counted, so that the shares never add up to more than the
 * limit.
 */
public final class DaemonCounter {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String PREFIX = "gateways/";

    /** Number of daemons assumed before the first list; high, so that shares start small. */
    private static final int INITIAL_COUNT = 150;

    private static final Duration FIRST_LIST_DELAY = Duration.ofMillis(2500);
    private static final Duration LIST_PERIOD = Duration.ofSeconds(20);
    private static final Duration REGISTER_RETRY_DELAY = Duration.ofSeconds(2);

    private final ObjectStore mStore;
    private final WriterTokens mWriters;
    private final String mHost;
    private final Scheduler mScheduler;
    private final Executor mExecutor;
    private final RandomGenerator mRandom;
    private int mCount = INITIAL_COUNT;
    private IntConsumer mOnCount = count -> {};
    private boolean mRegistered;

    /**
     * Creates a counter.
     *
     * @param store object API of the platform
     * @param writers source of writer tokens
     * @param host name of this host
     * @param scheduler clocks and timers
     * @param executor runs all callbacks, one at a time
     * @param random source of jitter
     */
    public DaemonCounter(
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
     * Registers this daemon and starts to count.
     *
     * @param onCount notified of each count
     */
    public void start(IntConsumer onCount) {
        mOnCount = onCount;
        register();
    }

    /**
     * Returns the number of daemons.
     *
     * @return at least 1; a high estimate before the first count
     */
    public int count() {
        return mCount;
    }

    private void register() {
        byte[] value = "{}".getBytes(StandardCharsets.UTF_8);
        mStore.write(PREFIX + mHost, new WriteCondition.Absent(), value, mWriters.next())
                .thenAccept(result -> mExecutor.execute(() -> onRegistered(result)));
    }

    private void onRegistered(WriteResult result) {
        mRegistered =
                result instanceof WriteResult.Applied || result instanceof WriteResult.Conflict;
        if (!mRegistered) {
            sLogger.atInfo().log("roll: daemon not registered yet: %s", result);
        }
        mScheduler.schedule(
                jittered(mRegistered ? FIRST_LIST_DELAY : REGISTER_RETRY_DELAY),
                this::registerOrList);
    }

    private void registerOrList() {
        if (mRegistered) {
            mStore.list(PREFIX).thenAccept(list -> mExecutor.execute(() -> onListed(list)));
        } else {
            register();
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
        mScheduler.schedule(jittered(LIST_PERIOD), this::registerOrList);
    }

    private Duration jittered(Duration delay) {
        return Duration.ofNanos(mRandom.nextLong(delay.toNanos() / 2, delay.toNanos() + 1));
    }
}
