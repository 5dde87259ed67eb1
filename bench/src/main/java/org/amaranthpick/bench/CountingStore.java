package org.amaranthpick.bench;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterToken;
import org.amaranthpick.core.time.Scheduler;

/** Store in memory that answers after a delay on virtual time and counts calls. */
final class CountingStore implements ObjectStore {
    private final MemoryObjectStore mStore;
    private final Scheduler mScheduler;
    private final Duration mDelay;
    private long mCalls;
    private int mWatches;

    CountingStore(MemoryObjectStore store, Scheduler scheduler, Duration delay) {
        mStore = store;
        mScheduler = scheduler;
        mDelay = delay;
    }

    /** Counts calls, each opened watch as one. */
    long calls() {
        return mCalls;
    }

    /** Counts the watches that wait now. */
    int watches() {
        return mWatches;
    }

    @Override
    public CompletionStage<ReadResult> read(String key) {
        return delayed(mStore.read(key));
    }

    @Override
    public CompletionStage<WriteResult> write(
            String key, WriteCondition condition, byte[] value, WriterToken writer) {
        return delayed(mStore.write(key, condition, value, writer));
    }

    @Override
    public CompletionStage<WriteResult> delete(String key, long version) {
        return delayed(mStore.delete(key, version));
    }

    @Override
    public CompletionStage<ListResult> list(String prefix) {
        return delayed(mStore.list(prefix));
    }

    @Override
    public Watch watch(String prefix, long afterRevision, WatchListener listener) {
        mCalls++;
        mWatches++;
        Watch watch = mStore.watch(prefix, afterRevision, new DelayedListener(listener));
        return () -> {
            mWatches--;
            watch.close();
        };
    }

    @Override
    public void close() {
        mStore.close();
    }

    private <T> CompletionStage<T> delayed(CompletionStage<T> stage) {
        mCalls++;
        T result = stage.toCompletableFuture().join();
        CompletableFuture<T> future = new CompletableFuture<>();
        mScheduler.schedule(mDelay, () -> future.complete(result));
        return future;
    }

    private final class DelayedListener implements WatchListener {
        private final WatchListener mListener;

        DelayedListener(WatchListener listener) {
            mListener = listener;
        }

        @Override
        public void onWritten(StoredObject object) {
            mScheduler.schedule(mDelay, () -> mListener.onWritten(object));
        }

        @Override
        public void onDeleted(String key, long revision) {
            mScheduler.schedule(mDelay, () -> mListener.onDeleted(key, revision));
        }

        @Override
        public void onProgress(long revision) {
            mListener.onProgress(revision);
        }

        @Override
        public void onEnded(String reason) {
            mListener.onEnded(reason);
        }
    }
}
