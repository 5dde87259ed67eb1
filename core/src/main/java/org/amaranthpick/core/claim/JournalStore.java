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
 * Reads and writes the objects of one shard: the head, which is replaced by compare-and-set, and
 * the sealed segments, which never change. The caller makes one call at a time.
 */
final class JournalStore {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String LOG_PREFIX = "claim:";
    private static final String HEAD = "head";
    private static final long COMPACTION_RETRY_MS = 30_000;

    private final String mPrefix;
    private final ClaimSettings mSettings;
    private final ObjectStore mStore;
    private final WriterTokens mTokens;
    private final ClaimCounters mCounters;
    private final Map<String, SealedSegment> mSegments = new HashMap<>();
    private WriteCondition mHeadCondition = new WriteCondition.Absent();
    private long mCompactAfterMs;

    JournalStore(
            String keyPrefix,
            ClaimSettings settings,
            ObjectStore store,
            WriterTokens tokens,
            ClaimCounters counters) {
        mPrefix = keyPrefix;
        mSettings = settings;
        mStore = store;
        mTokens = tokens;
        mCounters = counters;
    }

    /**
     * Reads the journal. Cached segments are not read again.
     *
     * @param nowMs wall-clock time in milliseconds
     * @return completes with the journal, empty if it could not be read
     */
    CompletionStage<Optional<ClaimJournal>> load(long nowMs) {
        mCounters.onRead();
        return mStore.read(mPrefix + HEAD).thenCompose(result -> onHead(result, nowMs));
    }

    /**
     * Writes the head, after a compaction of the journal if one is due.
     *
     * @param next journal to store
     * @param nowMs wall-clock time in milliseconds
     * @return completes with the result of the write of the head
     */
    CompletionStage<WriteResult> write(ClaimJournal next, long nowMs) {
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
        return mStore.write(mPrefix + name, new WriteCondition.Absent(), bytes, mTokens.next())
                .thenApply(result -> countWrite(result, bytes.length))
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
     * Allows the next compaction at once if the head was written. Otherwise the new segment is an
     * orphan, and the retry delay limits how many of these are written.
     */
    private WriteResult onCompacted(WriteResult result) {
        if (result instanceof WriteResult.Applied) {
            mCompactAfterMs = 0;
        }
        return result;
    }

    /** Clears the cached segments; they are read again when next needed. */
    void clearCachedSegments() {
        mSegments.clear();
    }

    private CompletionStage<Optional<ClaimJournal>> onHead(ReadResult result, long nowMs) {
        if (result instanceof ReadResult.Missing) {
            mHeadCondition = new WriteCondition.Absent();
            return completed(Optional.of(ClaimJournal.empty(mSettings)));
        }
        if (result instanceof ReadResult.Found found) {
            Optional<ClaimJournal> journal = decode(found.object());
            return journal.isPresent() ? completed(journal) : list(nowMs);
        }
        return completed(Optional.empty());
    }

    private CompletionStage<Optional<ClaimJournal>> list(long nowMs) {
        mCounters.onRead();
        return mStore.list(mPrefix).thenApply(result -> onListed(result, nowMs));
    }

    private Optional<ClaimJournal> onListed(ListResult result, long nowMs) {
        if (!(result instanceof ListResult.Listed listed)) {
            return Optional.empty();
        }
        Optional<StoredObject> head = Optional.empty();
        for (StoredObject object : listed.objects()) {
            if (object.key().equals(mPrefix + HEAD)) {
                head = Optional.of(object);
            } else {
                String name = object.key().substring(mPrefix.length());
                mSegments.computeIfAbsent(name, n -> new SealedSegment(object.value()));
            }
        }
        Set<String> orphans = new HashSet<>(mSegments.keySet());
        Map<String, SealedSegment> segments = Map.copyOf(mSegments);
        Optional<ClaimJournal> journal = head.flatMap(this::decode);
        if (journal.isEmpty()) {
            sLogger.atSevere().log(
                    "%s journal %s lists a segment that is missing; restore the segment",
                    LOG_PREFIX, mPrefix);
            return journal;
        }
        orphans.removeAll(mSegments.keySet());
        orphans.removeIf(name -> !journal.get().isSegmentExpired(segments.get(name), nowMs));
        orphans.forEach(this::delete);
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
            String reason =
                    "journal head of "
                            + head.length
                            + " bytes is too large; wait until keys expire";
            return completed(new WriteResult.Unavailable(reason));
        }
        return mStore.write(mPrefix + HEAD, mHeadCondition, head, mTokens.next())
                .thenApply(result -> countWrite(result, head.length))
                .thenApply(result -> onHeadWritten(next, result));
    }

    private WriteResult countWrite(WriteResult result, int bytes) {
        if (!(result instanceof WriteResult.Throttled)) {
            mCounters.onWrite(bytes);
        }
        return result;
    }

    private WriteResult onHeadWritten(ClaimJournal next, WriteResult result) {
        if (result instanceof WriteResult.Applied applied) {
            mHeadCondition = new WriteCondition.AtVersion(applied.version());
            Set<String> removed = new HashSet<>(mSegments.keySet());
            removed.removeAll(next.segments().keySet());
            mSegments.clear();
            mSegments.putAll(next.segments());
            removed.forEach(this::delete);
        }
        return result;
    }

    /** Deletes a segment that the stored head does not list. */
    private void delete(String name) {
        mCounters.onRead();
        var unused = mStore.read(mPrefix + name).thenCompose(this::deleteIfFound);
    }

    private CompletionStage<WriteResult> deleteIfFound(ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            mCounters.onWrite(0);
            return mStore.delete(found.object().key(), found.object().version());
        }
        return completed(new WriteResult.Conflict());
    }

    private static <T> CompletionStage<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }
}
