package org.amaranthpick.core.claim;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
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
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.SerialQueue;

/**
 * One shard's journal as this daemon writes it. Any daemon may write it: every write is a
 * compare-and-set of the head object, and a reply is given only once what it says is stored.
 */
final class ClaimShard {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String PREFIX = "claim:";
    private static final Duration MIN_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

    private final String mPath;
    private final ClaimSettings mSettings;
    private final ObjectStore mStore;
    private final WriterTokens mTokens;
    private final Scheduler mScheduler;
    private final ClaimCounters mCounters;
    private final SerialQueue mQueue;
    private List<PendingOperation> mPending = new ArrayList<>();
    private final Map<String, SealedSegment> mSegments = new HashMap<>();
    private Optional<ClaimJournal> mJournal = Optional.empty();
    private WriteCondition mHeadCondition = new WriteCondition.Absent();
    private Cancellable mTimer = () -> {};
    private Duration mBackoff = MIN_BACKOFF;
    private boolean mBusy;
    private long mCallStartedNs;
    private long mSyncedNs;
    private long mNextCommitNs;

    ClaimShard(
            String path,
            ClaimSettings settings,
            ObjectStore store,
            WriterTokens tokens,
            Scheduler scheduler,
            ClaimCounters counters) {
        mPath = path;
        mSettings = settings;
        mStore = store;
        mTokens = tokens;
        mScheduler = scheduler;
        mCounters = counters;
        mNextCommitNs = scheduler.monotonicNs();
        mQueue = new SerialQueue(e -> restart());
    }

    /**
     * Performs an operation.
     *
     * @param operation operation
     * @param validFor time after which it is answered as unavailable
     * @return completes with the reply, once what it says is stored
     */
    CompletableFuture<ShardReply> submit(ClaimOperation operation, Duration validFor) {
        long nowNs = mScheduler.monotonicNs();
        boolean lingers =
                operation instanceof ClaimOperation.Settle settle
                        && settle.state() != ClaimState.RELEASED;
        long commitByNs = lingers ? nowNs + mSettings.settleLinger().toNanos() : nowNs;
        PendingOperation pending =
                new PendingOperation(operation, nowNs, nowNs + validFor.toNanos(), commitByNs);
        mQueue.post(
                () -> {
                    mPending.add(pending);
                    pump();
                });
        return pending.reply();
    }

    /** Does the next step that is due; every event ends here. */
    private void pump() {
        long nowNs = mScheduler.monotonicNs();
        dropExpired(nowNs);
        if (mBusy || mPending.isEmpty()) {
            return;
        }
        if (mJournal.isEmpty()) {
            load();
            return;
        }
        answerWithoutWrite(mJournal.get(), nowNs);
        if (mBusy || mPending.isEmpty()) {
            return;
        }
        long dueNs = Math.max(mNextCommitNs, earliestCommitByNs());
        if (dueNs > nowNs) {
            wakeIn(Duration.ofNanos(dueNs - nowNs));
            return;
        }
        commit(mJournal.get());
    }

    private long earliestCommitByNs() {
        return mPending.stream().mapToLong(PendingOperation::commitByNs).min().orElse(0);
    }

    private void wakeIn(Duration delay) {
        mTimer.cancel();
        mTimer = mScheduler.schedule(delay, () -> mQueue.post(this::pump));
    }

    private void dropExpired(long nowNs) {
        List<PendingOperation> kept = new ArrayList<>(mPending.size());
        List<PendingOperation> expired = new ArrayList<>(0);
        for (PendingOperation pending : mPending) {
            (pending.expiresNs() - nowNs <= 0 ? expired : kept).add(pending);
        }
        mPending = kept;
        for (PendingOperation pending : expired) {
            pending.giveUp("the store gave no answer in time");
        }
    }

    /** Answers what the stored journal answers already; an old copy is read again before that. */
    private void answerWithoutWrite(ClaimJournal journal, long nowNs) {
        Set<KeyHash> changing = new HashSet<>();
        List<PendingOperation> toWrite = new ArrayList<>(mPending.size());
        Map<PendingOperation, ShardReply> answered = new LinkedHashMap<>();
        for (PendingOperation pending : mPending) {
            Optional<ShardReply> reply = journal.peek(pending.operation(), nowMs());
            if (reply.isPresent() && !changing.contains(pending.operation().key())) {
                answered.put(pending, reply.get());
            } else {
                changing.add(pending.operation().key());
                toWrite.add(pending);
            }
        }
        if (answered.keySet().stream().anyMatch(pending -> needsNewerCopy(pending, nowNs))) {
            load();
            return;
        }
        mPending = toWrite;
        answered.forEach((pending, reply) -> pending.reply().complete(reply));
    }

    /**
     * Tells whether the copy of the journal is too old to say that an operation changes nothing: a
     * refusal may be a little old, but a settling must not miss the claim that it settles.
     */
    private boolean needsNewerCopy(PendingOperation pending, long nowNs) {
        if (pending.operation() instanceof ClaimOperation.Settle) {
            return mSyncedNs - pending.submittedNs() < 0;
        }
        return nowNs - mSyncedNs > mSettings.cacheTrust().toNanos();
    }

    private void load() {
        mBusy = true;
        mCallStartedNs = mScheduler.monotonicNs();
        mCounters.onRead();
        var unused =
                mStore.read(headPath())
                        .whenComplete((result, error) -> mQueue.post(() -> onHead(result)));
    }

    private void onHead(ReadResult result) {
        if (result instanceof ReadResult.Missing) {
            loaded(ClaimJournal.empty(mSettings), new WriteCondition.Absent());
        } else if (result instanceof ReadResult.Found found) {
            if (!decode(found.object())) {
                list();
            }
        } else {
            failed();
        }
    }

    private void list() {
        mCounters.onRead();
        var unused =
                mStore.list(mPath)
                        .whenComplete((result, error) -> mQueue.post(() -> onListed(result)));
    }

    private void onListed(ListResult result) {
        if (!(result instanceof ListResult.Listed listed)) {
            failed();
            return;
        }
        Optional<StoredObject> head = Optional.empty();
        for (StoredObject object : listed.objects()) {
            if (object.key().equals(headPath())) {
                head = Optional.of(object);
            } else {
                String name = object.key().substring(mPath.length());
                mSegments.computeIfAbsent(name, n -> new SealedSegment(object.value()));
            }
        }
        if (head.isEmpty() || !decode(head.get())) {
            sLogger.atSevere().log("%s journal %s lacks a segment; restore it", PREFIX, mPath);
            failed();
        }
    }

    private boolean decode(StoredObject head) {
        Optional<ClaimJournal> journal = ClaimJournal.decode(mSettings, head.value(), mSegments);
        journal.ifPresent(j -> loaded(j, new WriteCondition.AtVersion(head.version())));
        return journal.isPresent();
    }

    private void loaded(ClaimJournal journal, WriteCondition condition) {
        mBusy = false;
        mJournal = Optional.of(journal);
        mSegments.keySet().retainAll(journal.segments().keySet());
        mHeadCondition = condition;
        mSyncedNs = mCallStartedNs;
        mBackoff = MIN_BACKOFF;
        pump();
    }

    /** The store gave nothing; reads the journal again later. */
    private void failed() {
        mBusy = false;
        mJournal = Optional.empty();
        wakeIn(mBackoff);
        Duration doubled = mBackoff.multipliedBy(2);
        mBackoff = doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
    }

    private void commit(ClaimJournal stored) {
        mBusy = true;
        mCallStartedNs = mScheduler.monotonicNs();
        mNextCommitNs = mCallStartedNs + mSettings.commitInterval().toNanos();
        ClaimJournal next = stored.copy();
        List<String> dropped = next.forget(nowMs());
        List<PendingOperation> batch = mPending;
        mPending = new ArrayList<>();
        List<ShardReply> replies = new ArrayList<>(batch.size());
        for (PendingOperation pending : batch) {
            replies.add(next.apply(pending.operation(), nowMs()));
        }
        ClaimBatch work = new ClaimBatch(next, batch, replies, dropped);
        byte[] head = next.encodeHead();
        if (head.length > mSettings.maxHeadBytes()) {
            seal(work, head);
        } else {
            writeHead(work, head);
        }
    }

    private void seal(ClaimBatch work, byte[] head) {
        Map<KeyHash, ClaimEntry> sealable = work.next().sealable(nowMs());
        byte[] bytes = SealedSegment.encode(sealable.values());
        if (bytes.length < head.length / 2) {
            writeHead(work, head);
            return;
        }
        String name = "segment-" + mTokens.next();
        mCounters.onWrite(bytes.length);
        var unused =
                mStore.write(mPath + name, new WriteCondition.Absent(), bytes, mTokens.next())
                        .whenComplete(
                                (result, error) ->
                                        mQueue.post(
                                                () ->
                                                        onSealed(
                                                                work,
                                                                name,
                                                                bytes,
                                                                sealable.keySet(),
                                                                result)));
    }

    private void onSealed(
            ClaimBatch work,
            String name,
            byte[] bytes,
            Collection<KeyHash> keys,
            WriteResult result) {
        if (result instanceof WriteResult.Applied) {
            SealedSegment segment = new SealedSegment(bytes);
            mSegments.put(name, segment);
            work.next().seal(name, segment, keys);
        }
        writeHead(work, work.next().encodeHead());
    }

    private void writeHead(ClaimBatch work, byte[] head) {
        if (head.length > ObjectStore.MAX_VALUE_BYTES) {
            mBusy = false;
            work.batch().forEach(pending -> pending.giveUp("the shard's journal is full"));
            pump();
            return;
        }
        mCounters.onWrite(head.length);
        var unused =
                mStore.write(headPath(), mHeadCondition, head, mTokens.next())
                        .whenComplete(
                                (result, error) -> mQueue.post(() -> onWritten(work, result)));
    }

    private void onWritten(ClaimBatch work, WriteResult result) {
        mBusy = false;
        if (result instanceof WriteResult.Applied applied) {
            mJournal = Optional.of(work.next());
            mHeadCondition = new WriteCondition.AtVersion(applied.version());
            mSyncedNs = mCallStartedNs;
            work.reply();
            work.dropped().forEach(this::deleteSegment);
            pump();
            return;
        }
        putBack(work.batch());
        if (result instanceof WriteResult.Conflict) {
            mCounters.onConflict();
            mJournal = Optional.empty();
            mNextCommitNs = mScheduler.monotonicNs();
            pump();
            return;
        }
        if (result instanceof WriteResult.Unknown) {
            mCounters.onUnknown();
            work.batch().forEach(PendingOperation::onUnknownWrite);
        }
        failed();
    }

    private void putBack(List<PendingOperation> batch) {
        List<PendingOperation> all = new ArrayList<>(batch);
        all.addAll(mPending);
        mPending = all;
    }

    private void deleteSegment(String name) {
        mSegments.remove(name);
        mCounters.onWrite(0);
        var unused = mStore.read(mPath + name).thenCompose(this::deleteFound);
    }

    private CompletionStage<WriteResult> deleteFound(ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            return mStore.delete(found.object().key(), found.object().version());
        }
        return CompletableFuture.completedFuture(new WriteResult.Conflict());
    }

    private void restart() {
        mQueue.post(this::failed);
    }

    private String headPath() {
        return mPath + "head";
    }

    private long nowMs() {
        return mScheduler.instant().toEpochMilli();
    }
}
