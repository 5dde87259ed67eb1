package org.amaranthpick.core.placement;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterToken;
import org.amaranthpick.core.time.Scheduler;

/** Store that can be out, lose the answers of writes that took effect, or answer late. */
final class FaultyStore implements ObjectStore {
    private final ObjectStore mStore;
    private final Scheduler mScheduler;
    boolean mOut;
    Predicate<String> mLosesAnswer = key -> false;
    Predicate<String> mAnswersLate = key -> false;
    Duration mLateBy = Duration.ZERO;
    int mReads;
    int mWrites;

    FaultyStore(ObjectStore store, Scheduler scheduler) {
        mStore = store;
        mScheduler = scheduler;
    }

    int calls() {
        return mReads + mWrites;
    }

    @Override
    public CompletionStage<ReadResult> read(String key) {
        mReads++;
        return mOut
                ? CompletableFuture.completedFuture(new ReadResult.Unavailable("out"))
                : mStore.read(key);
    }

    @Override
    public CompletionStage<WriteResult> write(
            String key, WriteCondition condition, byte[] value, WriterToken writer) {
        mWrites++;
        if (mOut) {
            return CompletableFuture.completedFuture(new WriteResult.Unavailable("out"));
        }
        CompletionStage<WriteResult> result = mStore.write(key, condition, value, writer);
        if (mLosesAnswer.test(key)) {
            return CompletableFuture.completedFuture(new WriteResult.Unknown("lost"));
        }
        return mAnswersLate.test(key) ? late(result) : result;
    }

    private CompletionStage<WriteResult> late(CompletionStage<WriteResult> result) {
        CompletableFuture<WriteResult> told = new CompletableFuture<>();
        mScheduler.schedule(mLateBy, () -> result.thenAccept(told::complete));
        return told;
    }

    @Override
    public CompletionStage<WriteResult> delete(String key, long version) {
        return mStore.delete(key, version);
    }

    @Override
    public CompletionStage<ListResult> list(String prefix) {
        return mStore.list(prefix);
    }

    @Override
    public Watch watch(String prefix, long afterRevision, WatchListener listener) {
        return mStore.watch(prefix, afterRevision, listener);
    }

    @Override
    public void close() {}
}
