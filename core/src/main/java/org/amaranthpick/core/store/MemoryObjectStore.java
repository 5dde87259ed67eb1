package org.amaranthpick.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Object store held in memory, for tests, benchmarks and the demo. Thread-safe. */
public final class MemoryObjectStore implements ObjectStore {
    private final TreeMap<String, StoredObject> mObjects = new TreeMap<>();
    private final List<MemoryWatch> mWatches = new ArrayList<>();
    private long mEra;
    private long mNumber;

    /**
     * Content of the store at a moment.
     *
     * @param objects all objects by key
     * @param number number of the store's revision
     */
    public record Copy(Map<String, StoredObject> objects, long number) {
        /** Copies the map. */
        public Copy {
            objects = Map.copyOf(objects);
        }
    }

    @Override
    public synchronized CompletionStage<ReadResult> read(String key) {
        StoredObject object = mObjects.get(key);
        return completed(object == null ? new ReadResult.Missing() : new ReadResult.Found(object));
    }

    @Override
    public CompletionStage<WriteResult> write(
            String key, WriteCondition condition, byte[] value, WriterToken writer) {
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "value of " + value.length + " bytes exceeds the store's limit; split it");
        }
        StoredObject written;
        List<MemoryWatch> watches;
        synchronized (this) {
            if (!isMet(condition, mObjects.get(key))) {
                return completed(new WriteResult.Conflict());
            }
            written = new StoredObject(key, nextRevision(), value, Optional.of(writer));
            mObjects.put(key, written);
            watches = List.copyOf(mWatches);
        }
        watches.forEach(watch -> watch.notifyWritten(written));
        return completed(new WriteResult.Applied(written.version()));
    }

    @Override
    public CompletionStage<WriteResult> delete(String key, long version) {
        long revision;
        List<MemoryWatch> watches;
        synchronized (this) {
            if (!isMet(new WriteCondition.AtVersion(version), mObjects.get(key))) {
                return completed(new WriteResult.Conflict());
            }
            mObjects.remove(key);
            revision = nextRevision();
            watches = List.copyOf(mWatches);
        }
        watches.forEach(watch -> watch.notifyDeleted(key, revision));
        return completed(new WriteResult.Applied(revision));
    }

    @Override
    public synchronized CompletionStage<ListResult> list(String prefix) {
        return completed(new ListResult.Listed(objectsWithPrefix(prefix), revision()));
    }

    @Override
    public Watch watch(String prefix, long afterRevision, WatchListener listener) {
        MemoryWatch watch = new MemoryWatch(prefix, listener);
        List<StoredObject> present;
        boolean restored;
        synchronized (this) {
            restored = StoreRevision.era(afterRevision) != mEra;
            mWatches.add(watch);
            present = objectsWithPrefix(prefix);
        }
        if (restored) {
            watch.close();
            listener.onEnded("the store was restored");
            return watch;
        }
        present.stream().filter(o -> o.version() > afterRevision).forEach(watch::notifyWritten);
        return watch;
    }

    /** Sends the current revision as progress to every watch. */
    public void sendProgress() {
        List<MemoryWatch> watches;
        long revision;
        synchronized (this) {
            watches = List.copyOf(mWatches);
            revision = revision();
        }
        watches.forEach(watch -> watch.mListener.onProgress(revision));
    }

    /**
     * Copies the store.
     *
     * @return the present objects and revision
     */
    public synchronized Copy copy() {
        return new Copy(mObjects, mNumber);
    }

    /**
     * Returns to an earlier copy in a new era, as a store does that has lost its latest writes.
     * Numbers of revisions are given out again, and all watches end.
     *
     * @param copy copy to return to
     */
    public void restore(Copy copy) {
        List<MemoryWatch> watches;
        synchronized (this) {
            mObjects.clear();
            mEra++;
            mNumber = copy.number();
            for (StoredObject object : copy.objects().values()) {
                long version = StoreRevision.of(mEra, StoreRevision.number(object.version()));
                mObjects.put(
                        object.key(),
                        new StoredObject(object.key(), version, object.value(), object.writer()));
            }
            watches = List.copyOf(mWatches);
            mWatches.clear();
        }
        watches.forEach(watch -> watch.mListener.onEnded("the store was restored"));
    }

    @Override
    public synchronized long era() {
        return mEra;
    }

    @Override
    public synchronized void close() {
        mWatches.clear();
    }

    private long revision() {
        return StoreRevision.of(mEra, mNumber);
    }

    private long nextRevision() {
        mNumber++;
        return revision();
    }

    private List<StoredObject> objectsWithPrefix(String prefix) {
        List<StoredObject> found = new ArrayList<>();
        for (Map.Entry<String, StoredObject> entry : mObjects.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            found.add(entry.getValue());
        }
        return found;
    }

    private static boolean isMet(WriteCondition condition, StoredObject current) {
        if (condition instanceof WriteCondition.AtVersion expected) {
            return current != null && current.version() == expected.version();
        }
        return current == null;
    }

    private static <T> CompletionStage<T> completed(T result) {
        return CompletableFuture.completedFuture(result);
    }

    private final class MemoryWatch implements Watch {
        private final String mPrefix;
        private final WatchListener mListener;

        MemoryWatch(String prefix, WatchListener listener) {
            mPrefix = prefix;
            mListener = listener;
        }

        void notifyWritten(StoredObject object) {
            if (object.key().startsWith(mPrefix)) {
                mListener.onWritten(object);
            }
        }

        void notifyDeleted(String key, long revision) {
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
