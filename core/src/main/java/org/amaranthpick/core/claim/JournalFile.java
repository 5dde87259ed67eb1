package org.amaranthpick.core.claim;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterTokens;

/**
 * Objects of one shard in the store: the head, which is replaced by compare-and-set, and sealed
 * segments, which never change. One call at a time.
 */
final class JournalFile {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String PREFIX = "claim:";
    private static final String HEAD = "head";
    private static final long COMPACTION_RETRY_MS = 30_000;

    private final String mPath;
    private final ClaimSettings mSettings;
    private final ObjectStore mStore;
    private final WriterTokens mTokens;
    private final ClaimCounters mCounters;
    private final Map<String, SealedSegment> mSegments = new HashMap<>();
    private WriteCondition mHeadCondition = new WriteCondition.Absent();
    private long mCompactAfterMs;

    JournalFile(
            String path,
            ClaimSettings settings,
            ObjectStore store,
            WriterTokens tokens,
            ClaimCounters counters) {
        mPath = path;
        mSettings = settings;
        mStore = store;
        mTokens = tokens;
        mCounters = counters;
    }

    /**
     * Reads the journal; segments known already are not read again.
     *
     * @param nowMs wall-clock time, milliseconds
     * @return completes with the journal, empty if the store did not give it
     */
    CompletionStage<Optional<ClaimJournal>> load(long nowMs) {
        mCounters.onRead();
        return mStore.read(mPath + HEAD).thenCompose(result -> onHead(result, nowMs));
    }

    /**
     * Replaces the head, after moving entries to a new segment where the head has grown large.
     *
     * @param next journal to store
     * @param nowMs wall-clock time, milliseconds
     * @return completes with the result of the head's write
     */
    CompletionStage<WriteResult> store(ClaimJournal next, long nowMs) {
        Optional<Compaction> compaction =
                nowMs < mCompactAfterMs
                        ? Optional.empty()
                        : Compaction.plan(next, mSettings, nowMs);
        if (compaction.isEmpty()) {
            return writeHead(next);
        }
        mCompactAfterMs = nowMs + COMPACTION_RETRY_MS;
        String name = "segment-" + mTokens.next();
        byte[] bytes = compaction.get().bytes();
        return mStore.write(mPath + name, new WriteCondition.Absent(), bytes, mTokens.next())
                .thenApply(result -> counted(result, bytes.length))
                .thenCompose(
                        result -> {
                            if (result instanceof WriteResult.Applied) {
                                compaction.get().apply(next, name);
                            }
                            return writeHead(next);
                        })
                .thenApply(this::onCompacted);
    }

    /**
     * After a lost head the segment written for it is an orphan; the next one is not written soon.
     */
    private WriteResult onCompacted(WriteResult result) {
        if (result instanceof WriteResult.Applied) {
            mCompactAfterMs = 0;
        }
        return result;
    }

    /** Forgets the segments, so that they are read again when next needed. */
    void forgetCopies() {
        mSegments.clear();
    }

    private CompletionStage<Optional<ClaimJournal>> onHead(ReadResult result, long nowMs) {
        if (result instanceof ReadResult.Missing) {
            mHeadCondition = new WriteCondition.Absent();
            return done(Optional.of(ClaimJournal.empty(mSettings)));
        }
        if (result instanceof ReadResult.Found found) {
            Optional<ClaimJournal> journal = decode(found.object());
            return journal.isPresent() ? done(journal) : list(nowMs);
        }
        return done(Optional.empty());
    }

    private CompletionStage<Optional<ClaimJournal>> list(long nowMs) {
        mCounters.onRead();
        return mStore.list(mPath).thenApply(result -> onListed(result, nowMs));
    }

    private Optional<ClaimJournal> onListed(ListResult result, long nowMs) {
        if (!(result instanceof ListResult.Listed listed)) {
            return Optional.empty();
        }
        Optional<StoredObject> head = Optional.empty();
        for (StoredObject object : listed.objects()) {
            if (object.key().equals(mPath + HEAD)) {
                head = Optional.of(object);
            } else {
                String name = object.key().substring(mPath.length());
                mSegments.computeIfAbsent(name, n -> new SealedSegment(object.value()));
            }
        }
        Set<String> found = new HashSet<>(mSegments.keySet());
        Map<String, SealedSegment> segments = Map.copyOf(mSegments);
        Optional<ClaimJournal> journal = head.flatMap(this::decode);
        if (journal.isEmpty()) {
            sLogger.atSevere().log("%s journal %s lacks a segment; restore it", PREFIX, mPath);
            return journal;
        }
        found.removeAll(mSegments.keySet());
        found.removeIf(name -> !journal.get().isPast(segments.get(name), nowMs));
        found.forEach(this::delete);
        return journal;
    }

    private Optional<ClaimJournal> decode(StoredObject head) {
        Optional<ClaimJournal> journal = ClaimJournal.decode(mSettings, head.value(), mSegments);
        if (journal.isPresent()) {
            mSegments.keySet().retainAll(journal.get().segments().keySet());
            mHeadCondition = new WriteCondition.AtVersion(head.version());
        }
        return journal;
    }

    private CompletionStage<WriteResult> writeHead(ClaimJournal next) {
        byte[] head = next.encodeHead();
        if (head.length > ObjectStore.MAX_VALUE_BYTES) {
            String remedy = "journal of " + head.length + " bytes is full; wait for expiry";
            return done(new WriteResult.Unavailable(remedy));
        }
        return mStore.write(mPath + HEAD, mHeadCondition, head, mTokens.next())
                .thenApply(result -> counted(result, head.length))
                .thenApply(result -> onHeadWritten(next, result));
    }

    private WriteResult counted(WriteResult result, int bytes) {
        if (!(result instanceof WriteResult.Throttled)) {
            mCounters.onWrite(bytes);
        }
        return result;
    }

    private WriteResult onHeadWritten(ClaimJournal next, WriteResult result) {
        if (result instanceof WriteResult.Applied applied) {
            mHeadCondition = new WriteCondition.AtVersion(applied.version());
            Set<String> dropped = new HashSet<>(mSegments.keySet());
            dropped.removeAll(next.segments().keySet());
            mSegments.clear();
            mSegments.putAll(next.segments());
            dropped.forEach(this::delete);
        }
        return result;
    }

    /** Deletes a segment that the stored head no longer names. */
    private void delete(String name) {
        mCounters.onRead();
        var unused = mStore.read(mPath + name).thenCompose(this::deleteFound);
    }

    private CompletionStage<WriteResult> deleteFound(ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            mCounters.onWrite(0);
            return mStore.delete(found.object().key(), found.object().version());
        }
        return done(new WriteResult.Conflict());
    }

    private static <T> CompletionStage<T> done(T value) {
        return CompletableFuture.completedFuture(value);
    }
}
