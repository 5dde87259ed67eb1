package org.amaranthpick.server.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterToken;
import org.amaranthpick.core.time.Scheduler;

/**
 * Keeps the calls of this daemon within its share of the store. A call over the share waits for a
 * short time, configuration first; then it is throttled. A call that is refused was not sent.
 */
public final class BudgetedObjectStore implements ObjectStore {
    private static final double MIN_READ_SHARE = 0.2;

    private final Object mLock = new Object();
    private final ObjectStore mStore;
    private final BudgetSettings mSettings;
    private final BudgetCounters mCounters = new BudgetCounters();
    private final StoreHealth mHealth;
    private final CallGate mReads;
    private final CallGate mWrites;

    /**
     * Wraps a store.
     *
     * @param store store that is called; closed with this one
     * @param scheduler clock and timers
     * @param random random source of jitter, used under a lock
     * @param settings the share
     */
    public BudgetedObjectStore(
            ObjectStore store,
            Scheduler scheduler,
            RandomGenerator random,
            BudgetSettings settings) {
        mStore = store;
        mSettings = settings;
        mHealth = new StoreHealth(scheduler, random, settings, mCounters);
        mReads = new CallGate(mLock, scheduler, settings, mHealth, mCounters, this::readsPerSecond);
        mWrites =
                new CallGate(
                        mLock, scheduler, settings, mHealth, mCounters, settings::writesPerSecond);
    }

    @Override
    public CompletionStage<ReadResult> read(String key) {
        return call(mReads, key, () -> mStore.read(key), this::learn, ReadResult.Throttled::new);
    }

    @Override
    public CompletionStage<WriteResult> write(
            String key, WriteCondition condition, byte[] value, WriterToken writer) {
        return call(
                mWrites,
                key,
                () -> mStore.write(key, condition, value, writer),
                this::learn,
                WriteResult.Throttled::new);
    }

    @Override
    public CompletionStage<WriteResult> delete(String key, long version) {
        return call(
                mWrites,
                key,
                () -> mStore.delete(key, version),
                this::learn,
                WriteResult.Throttled::new);
    }

    @Override
    public CompletionStage<ListResult> list(String prefix) {
        return call(
                mReads,
                prefix,
                () -> mStore.list(prefix),
                this::learn,
                after -> new ListResult.Unavailable(refusal(after)));
    }

    @Override
    public Watch watch(String prefix, long afterRevision, WatchListener listener) {
        BudgetedWatch watch = new BudgetedWatch(mCounters, this::learnOfWatch, listener);
        mReads.submit(
                StorePriority.of(prefix),
                () -> {
                    mCounters.countCall(false);
                    watch.open(() -> mStore.watch(prefix, afterRevision, watch));
                },
                after -> watch.onEnded(refusal(after)));
        return watch;
    }

    /**
     * Returns the counters.
     *
     * @return live counters
     */
    public BudgetCounters counters() {
        return mCounters;
    }

    @Override
    public long era() {
        return mStore.era();
    }

    @Override
    public void close() {
        mStore.close();
    }

    private <T> CompletionStage<T> call(
            CallGate gate,
            String key,
            Supplier<CompletionStage<T>> call,
            Consumer<T> learn,
            Function<Duration, T> refusal) {
        CompletableFuture<T> result = new CompletableFuture<>();
        gate.submit(
                StorePriority.of(key),
                () -> {
                    mCounters.countCall(gate == mWrites);
                    call.get()
                            .thenAccept(
                                    seen -> {
                                        learn.accept(seen);
                                        result.complete(seen);
                                    });
                },
                after -> result.complete(refusal.apply(after)));
        return result;
    }

    /** An open watch takes one read per second. */
    private double readsPerSecond() {
        double full = mSettings.readsPerSecond();
        return Math.max(full * MIN_READ_SHARE, full - mCounters.watches());
    }

    private static String refusal(Duration after) {
        return "over this daemon's share of the store; try again in " + after.toMillis() + " ms";
    }

    private void learnOfWatch(Optional<String> failure) {
        synchronized (mLock) {
            failure.ifPresentOrElse(mHealth::onFailure, mHealth::onSuccess);
        }
    }

    private void learn(ReadResult result) {
        synchronized (mLock) {
            if (result instanceof ReadResult.Unavailable unavailable) {
                mHealth.onFailure(unavailable.reason());
            } else if (result instanceof ReadResult.Throttled throttled) {
                mHealth.onThrottled(throttled.retryAfter());
            } else {
                mHealth.onSuccess();
            }
        }
    }

    private void learn(ListResult result) {
        synchronized (mLock) {
            if (result instanceof ListResult.Unavailable unavailable) {
                mHealth.onFailure(unavailable.reason());
            } else {
                mHealth.onSuccess();
            }
        }
    }

    private void learn(WriteResult result) {
        synchronized (mLock) {
            if (result instanceof WriteResult.Unavailable unavailable) {
                mHealth.onFailure(unavailable.reason());
            } else if (result instanceof WriteResult.Unknown unknown) {
                mHealth.onFailure(unknown.reason());
            } else if (result instanceof WriteResult.Throttled throttled) {
                mHealth.onThrottled(throttled.retryAfter());
            } else {
                mHealth.onSuccess();
            }
        }
    }
}
