package org.amaranthpick.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Object store held in memory, for tests, measuring runs and the demo. Thread-safe. */
public final class MemoryObjectStore implements ObjectStore {
    private final TreeMap<String, StoredObject> mObjects = new TreeMap<>();
    private final List<MemoryWatch> mWatches = new ArrayList<>();
    private long mRevision;

    @Override
    public synchronized CompletionStage<ReadResult> read(String key) {
        StoredObject object = mObjects.get(key);
        return done(object == null ? new ReadResult.Missing() : new ReadResult.Found(object));
    }

    @Override
    public CompletionStage<WriteResult> write(
            String key, WriteCondition condition, byte[] value, WriterToken writer) {
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "value of " + value.length + " bytes is over the store's limit; split it");
        }
        StoredObject written;
        List<MemoryWatch> watches;
        synchronized (this) {
            if (!holds(condition, mObjects.get(key))) {
                return done(new WriteResult.Conflict());
            }
            written = new StoredObject(key, ++mRevision, value, Optional.of(writer));
            mObjects.put(key, written);
            watches = List.copyOf(mWatches);
        }
        watches.forEach(watch -> watch.tellWritten(written));
        return done(new WriteResult.Applied(written.version()));
    }

    @Override
    public CompletionStage<WriteResult> delete(String key, long version) {
        long revision;
        List<MemoryWatch> watches;
        synchronized (this) {
            if (!holds(new WriteCondition.AtVersion(version), mObjects.get(key))) {
                return done(new WriteResult.Conflict());
            }
            mObjects.remove(key);
            revision = ++mRevision;
            watches = List.copyOf(mWatches);
        }
        watches.forEach(watch -> watch.tellDeleted(key, revision));
        return done(new WriteResult.Applied(revision));
    }

    @Override
    public synchronized CompletionStage<ListResult> list(String prefix) {
        return done(new ListResult.Listed(under(prefix), mRevision));
    }

    @Override
    public Watch watch(String prefix, long afterRevision, WatchListener listener) {
        MemoryWatch watch = new MemoryWatch(prefix, listener);
        List<StoredObject> missed;
        synchronized (this) {
            mWatches.add(watch);
            missed = under(prefix);
        }
        missed.stream().filter(o -> o.version() > afterRevision).forEach(watch::tellWritten);
        return watch;
    }

    /** Sends a progress mark to every watch. */
    public void tellProgress() {
        List<MemoryWatch> watches;
        long revision;
        synchronized (this) {
            watches = List.copyOf(mWatches);
            revision = mRevision;
        }
        watches.forEach(watch -> watch.mListener.onProgress(revision));
    }

    @Override
    public synchronized void close() {
        mWatches.clear();
    }

    private List<StoredObject> under(String prefix) {
        List<StoredObject> found = new ArrayList<>();
        for (Map.Entry<String, StoredObject> entry : mObjects.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            found.add(entry.getValue());
        }
        return found;
    }

    private static boolean holds(WriteCondition condition, StoredObject present) {
        if (condition instanceof WriteCondition.AtVersion at) {
            return present != null && present.version() == at.version();
        }
        return present == null;
    }

    private static <T> CompletionStage<T> done(T result) {
        return CompletableFuture.completedFuture(result);
    }

    private final class MemoryWatch implements Watch {
        private final String mPrefix;
        private final WatchListener mListener;

        MemoryWatch(String prefix, WatchListener listener) {
            mPrefix = prefix;
            mListener = listener;
        }

        void tellWritten(StoredObject object) {
            if (object.key().startsWith(mPrefix)) {
                mListener.onWritten(object);
            }
        }

        void tellDeleted(String key, long revision) {
            if (key.startsWith(mPrefix)) {
                mListener.onDeleted(key, revision);
            }
        }

        @Override
        public void close() {
            synchronized (MemoryObjectStore.this) {
                mWatches.remove(this);
            }
        }
    }
}
