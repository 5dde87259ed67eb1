package org.amaranthpick.core.config;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterToken;
import org.amaranthpick.core.time.Scheduler;

/** View of a store with a delay, outages and lost answers. */
final class FaultyStore implements ObjectStore {
    boolean mDown;
    boolean mSilent;
    int mLoseAnswersAfterWrite;
    int mLoseRequests;
    Runnable mBeforeRootWrite = () -> {};
    Runnable mBeforeDelete = () -> {};
    long mCalls;
    long mWrites;

    private ReadResult mFrozenRoot;
    private final MemoryObjectStore mStore;
    private final Scheduler mScheduler;
    private final Duration mDelay;

    FaultyStore(MemoryObjectStore store, Scheduler scheduler, Duration delay) {
        mStore = store;
        mScheduler = scheduler;
        mDelay = delay;
    }

    @Override
    public CompletionStage<ReadResult> read(String key) {
        if (mFrozenRoot != null && !mDown && key.equals(ConfigurationStore.ROOT_KEY)) {
            return later(mFrozenRoot);
        }
        return mDown ? later(new ReadResult.Unavailable("down")) : delayed(mStore.read(key));
    }

    /** Gives the present root to every later read and ends watch events: a stale replica. */
    void freezeRoot() {
        mFrozenRoot = mStore.read(ConfigurationStore.ROOT_KEY).toCompletableFuture().join();
        mSilent = true;
    }

    @Override
    public CompletionStage<WriteResult> write(
            String key, WriteCondition condition, byte[] value, WriterToken writer) {
        if (mDown) {
            return later(new WriteResult.Unavailable("down"));
        }
        mWrites++;
        if (key.equals(ConfigurationStore.ROOT_KEY)) {
            Runnable before = mBeforeRootWrite;
            mBeforeRootWrite = () -> {};
            before.run();
            if (mLoseRequests > 0) {
                mLoseRequests--;
                return later(new WriteResult.Unknown("request lost"));
            }
        }
        CompletionStage<WriteResult> result = mStore.write(key, condition, value, writer);
        if (key.equals(ConfigurationStore.ROOT_KEY) && mLoseAnswersAfterWrite > 0) {
            mLoseAnswersAfterWrite--;
            return later(new WriteResult.Unknown("answer lost"));
        }
        return delayed(result);
    }

    @Override
    public CompletionStage<WriteResult> delete(String key, long version) {
        Runnable before = mBeforeDelete;
        mBeforeDelete = () -> {};
        before.run();
        return mDown
                ? later(new WriteResult.Unavailable("down"))
                : delayed(mStore.delete(key, version));
    }

    @Override
    public CompletionStage<ListResult> list(String prefix) {
        if (mDown) {
            return later(new ListResult.Unavailable("down"));
        }
        if (prefix.equals(ConfigurationStore.ROOT_KEY)
                && mFrozenRoot instanceof ReadResult.Found frozen) {
            return later(new ListResult.Listed(List.of(frozen.object()), 0));
        }
        return delayed(mStore.list(prefix));
    }

    @Override
    public Watch watch(String prefix, long afterRevision, WatchListener listener) {
        mCalls++;
        return mStore.watch(prefix, afterRevision, new Filter(listener));
    }

    @Override
    public void close() {
        // The store behind is shared.
    }

    private <T> CompletionStage<T> delayed(CompletionStage<T> stage) {
        return later(stage.toCompletableFuture().join());
    }

    private <T> CompletionStage<T> later(T result) {
        mCalls++;
        CompletableFuture<T> future = new CompletableFuture<>();
        mScheduler.schedule(mDelay, () -> future.complete(result));
        return future;
    }

    /** Silences a watch for good once an event was lost. */
    private final class Filter implements WatchListener {
        private final WatchListener mListener;
        private boolean mSilenced;

        Filter(WatchListener listener) {
            mListener = listener;
        }

        private void tell(Runnable event) {
            mScheduler.schedule(
                    mDelay,
                    () -> {
                        mSilenced |= mDown || mSilent;
                        if (!mSilenced) {
                            event.run();
                        }
                    });
        }

        @Override
        public void onWritten(org.amaranthpick.core.store.StoredObject object) {
            tell(() -> mListener.onWritten(object));
        }

        @Override
        public void onDeleted(String key, long revision) {
            tell(() -> mListener.onDeleted(key, revision));
        }

        @Override
        public void onProgress(long revision) {
            tell(() -> mListener.onProgress(revision));
        }

        @Override
        public void onEnded(String reason) {
            tell(() -> mListener.onEnded(reason));
        }
    }
}
