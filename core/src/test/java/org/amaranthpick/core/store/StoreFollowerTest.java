package org.amaranthpick.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;

class StoreFollowerTest {
    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final MemoryObjectStore mMemory = new MemoryObjectStore();
    private final WriterTokens mWriters = new WriterTokens("h", 1);
    private final List<String> mTold = new ArrayList<>();
    private final Outage mStore = new Outage();
    private final StoreFollower mFollower =
            new StoreFollower(
                    mStore,
                    "k/",
                    mScheduler,
                    Runnable::run,
                    new SplittableRandom(3),
                    new Recorder());

    @Test
    void listsThenTellsWhatChanges() {
        write("k/a");
        mFollower.start();
        write("k/b");
        write("other/c");
        assertEquals(List.of("list k/a", "write k/b"), mTold);
    }

    @Test
    void listsAgainWhenTheHistoryOfTheWatchIsGone() {
        mFollower.start();
        mStore.mListener.onEnded("gone");
        assertEquals(List.of("list", "list"), mTold);
    }

    @Test
    void anOutageIsToldOnceItIsOverAndCallsAreSpaced() {
        mStore.mDown = true;
        mFollower.start();
        mScheduler.advance(Duration.ofSeconds(20));
        assertTrue(mStore.mLists < 50, mStore.mLists + " lists in 20 s");
        mStore.mDown = false;
        mScheduler.advance(Duration.ofSeconds(2));
        assertEquals(List.of("regained", "list"), mTold);
    }

    @Test
    void eventsOfAWatchThatWasReplacedAreDropped() {
        mFollower.start();
        WatchListener old = mStore.mListener;
        old.onEnded("gone");
        old.onDeleted("k/a", 9);
        assertEquals(List.of("list", "list"), mTold);
    }

    private void write(String key) {
        mMemory.write(
                key,
                new WriteCondition.Absent(),
                "{}".getBytes(StandardCharsets.UTF_8),
                mWriters.next());
    }

    private final class Recorder implements StoreFollower.Sink {
        @Override
        public void onList(List<StoredObject> objects) {
            StringBuilder keys = new StringBuilder("list");
            objects.forEach(object -> keys.append(' ').append(object.key()));
            mTold.add(keys.toString());
        }

        @Override
        public void onWritten(StoredObject object) {
            mTold.add("write " + object.key());
        }

        @Override
        public void onDeleted(String key) {
            mTold.add("delete " + key);
        }

        @Override
        public void onRegained() {
            mTold.add("regained");
        }
    }

    /** Memory store that can be out and whose watches the test may end. */
    private final class Outage implements ObjectStore {
        private boolean mDown;
        private int mLists;
        private WatchListener mListener;

        @Override
        public CompletionStage<ReadResult> read(String key) {
            return mMemory.read(key);
        }

        @Override
        public CompletionStage<WriteResult> write(
                String key, WriteCondition condition, byte[] value, WriterToken writer) {
            return mMemory.write(key, condition, value, writer);
        }

        @Override
        public CompletionStage<WriteResult> delete(String key, long version) {
            return mMemory.delete(key, version);
        }

        @Override
        public CompletionStage<ListResult> list(String prefix) {
            mLists++;
            return mDown
                    ? CompletableFuture.completedFuture(new ListResult.Unavailable("down"))
                    : mMemory.list(prefix);
        }

        @Override
        public Watch watch(String prefix, long afterRevision, WatchListener listener) {
            mListener = listener;
            return mMemory.watch(prefix, afterRevision, listener);
        }

        @Override
        public void close() {
            mMemory.close();
        }
    }
}
