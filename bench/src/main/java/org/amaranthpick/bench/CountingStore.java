package org.amaranthpick.bench;

import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterToken;

/** Store that counts the calls that it passes on. */
final class CountingStore implements ObjectStore {
    private final ObjectStore mStore;
    private long mReads;
    private long mWrites;
    private long mLargestBytes;

    CountingStore(ObjectStore store) {
        mStore = store;
    }

    long reads() {
        return mReads;
    }

    long writes() {
        return mWrites;
    }

    long largestBytes() {
        return mLargestBytes;
    }

    @Override
    public CompletionStage<ReadResult> read(String key) {
        mReads++;
        return mStore.read(key);
    }

    @Override
    public CompletionStage<WriteResult> write(
            String key, WriteCondition condition, byte[] value, WriterToken writer) {
        mWrites++;
        mLargestBytes = Math.max(mLargestBytes, value.length);
        return mStore.write(key, condition, value, writer);
    }

    @Override
    public CompletionStage<WriteResult> delete(String key, long version) {
        mWrites++;
        return mStore.delete(key, version);
    }

    @Override
    public CompletionStage<ListResult> list(String prefix) {
        mReads++;
        return mStore.list(prefix);
    }

    @Override
    public Watch watch(String prefix, long afterRevision, WatchListener listener) {
        return mStore.watch(prefix, afterRevision, listener);
    }

    @Override
    public void close() {
        mStore.close();
    }
}
