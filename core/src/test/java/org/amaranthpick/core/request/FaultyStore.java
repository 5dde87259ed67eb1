package org.amaranthpick.core.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterToken;
import org.amaranthpick.core.time.VirtualScheduler;

/** The shared store as one process sees it: slow, ambiguous, throttled, at times away. */
final class FaultyStore implements ObjectStore {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final MemoryObjectStore mStore;
    private final VirtualScheduler mTime;
    private final FakeNode mNode;
    private final RandomGenerator mRandom;
    private final Faults mFaults;
    private final List<WriteResult> mLostAnswers = new ArrayList<>();

    /** How often things go wrong; shared by all processes and changed during a run. */
    static final class Faults {
        double mAmbiguous;
        double mThrottled;
        boolean mOutage;
        boolean mIgnoresConditions;
    }

    FaultyStore(
            MemoryObjectStore store,
            VirtualScheduler time,
            FakeNode node,
            RandomGenerator random,
            Faults faults) {
        mStore = store;
        mTime = time;
        mNode = node;
        mRandom = random;
        mFaults = faults;
    }

    @Override
    public CompletionStage<ReadResult> read(String key) {
        return mFaults.mOutage
                ? after(Duration.ofMillis(1), () -> new ReadResult.Unavailable("outage"))
                : call(() -> now(mStore.read(key)));
    }

    @Override
    public CompletionStage<ListResult> list(String prefix) {
        return mFaults.mOutage
                ? after(Duration.ofMillis(1), () -> new ListResult.Unavailable("outage"))
                : call(() -> now(mStore.list(prefix)));
    }

    @Override
    public CompletionStage<WriteResult> write(
            String key, WriteCondition condition, byte[] value, WriterToken writer) {
        if (mFaults.mOutage) {
            return after(Duration.ofMillis(1), () -> new WriteResult.Unavailable("outage"));
        }
        if (mRandom.nextDouble() < mFaults.mThrottled) {
            return after(
                    Duration.ofMillis(1), () -> new WriteResult.Throttled(Duration.ofMillis(50)));
        }
        Supplier<WriteResult> apply =
                () -> now(mStore.write(key, held(key, condition), value, writer));
        if (mRandom.nextDouble() < mFaults.mAmbiguous) {
            return ambiguous(apply);
        }
        return call(apply);
    }

    @Override
    public CompletionStage<WriteResult> delete(String key, long version) {
        return call(() -> now(mStore.delete(key, version)));
    }

    @Override
    public Watch watch(String prefix, long afterRevision, WatchListener listener) {
        return mStore.watch(prefix, afterRevision, listener);
    }

    @Override
    public void close() {}

    /** The condition, or one that always holds for a store without compare-and-set. */
    private WriteCondition held(String key, WriteCondition condition) {
        if (!mFaults.mIgnoresConditions) {
            return condition;
        }
        return now(mStore.read(key)) instanceof ReadResult.Found found
                ? new WriteCondition.AtVersion(found.object().version())
                : new WriteCondition.Absent();
    }

    /** The answer is lost; the write takes effect at once, late or never. */
    private CompletionStage<WriteResult> ambiguous(Supplier<WriteResult> apply) {
        int when = mRandom.nextInt(3);
        if (when > 0) {
            Duration delay = Duration.ofMillis(when == 1 ? 5 : 500 + mRandom.nextInt(8_000));
            Runnable late =
                    () -> {
                        WriteResult lost = apply.get();
                        mLostAnswers.add(lost);
                    };
            var unused = mTime.schedule(delay, late);
        }
        return after(TIMEOUT, () -> new WriteResult.Unknown("answer lost"));
    }

    private <T> CompletionStage<T> call(Supplier<T> perform) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Consumer<T> answer = told -> deliver(latency(), () -> told, result);
        var unused = mTime.schedule(latency(), () -> answer.accept(perform.get()));
        return result;
    }

    private <T> CompletionStage<T> after(Duration delay, Supplier<T> told) {
        CompletableFuture<T> result = new CompletableFuture<>();
        deliver(delay, told, result);
        return result;
    }

    private <T> void deliver(Duration delay, Supplier<T> told, CompletableFuture<T> result) {
        var unused = mTime.schedule(delay, () -> mNode.run(() -> result.complete(told.get())));
    }

    private Duration latency() {
        return Duration.ofMillis(1 + mRandom.nextInt(15));
    }

    private static <T> T now(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }
}
