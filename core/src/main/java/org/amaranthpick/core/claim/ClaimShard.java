package org.amaranthpick.core.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.SerialQueue;

/**
 * Performs operations on one shard and batches their writes. Any daemon may write a shard: every
 * write is a compare-and-set of the head object, and an operation completes only once the state
 * that its reply reports is stored.
 */
final class ClaimShard {
    private static final Duration MIN_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(10);

    private final ClaimSettings mSettings;
    private final JournalStore mJournalStore;
    private final Scheduler mScheduler;
    private final ClaimCounters mCounters;
    private final SerialQueue mQueue;
    private List<PendingOperation> mPending = new ArrayList<>();
    private Optional<ClaimJournal> mJournal = Optional.empty();
    private Cancellable mTimer = () -> {};
    private Cancellable mIdleTimer = () -> {};
    private Duration mBackoff = MIN_BACKOFF;
    private boolean mCallInProgress;
    private long mCopyNumber;
    private long mCallStartedNs;
    private long mCopyAsOfNs;
    private long mNextCommitNs;

    ClaimShard(
            ClaimSettings settings,
            JournalStore journalStore,
            Scheduler scheduler,
            ClaimCounters counters) {
        mSettings = settings;
        mJournalStore = journalStore;
        mScheduler = scheduler;
        mCounters = counters;
        mNextCommitNs = scheduler.monotonicNs();
        mQueue = new SerialQueue(e -> onEventFailure());
    }

    /**
     * Submits an operation.
     *
     * @param operation operation to perform
     * @param validFor time after which the operation fails
     * @return completes with the reply once the state that it reports is stored
     */
    CompletableFuture<ShardReply> submit(ClaimOperation operation, Duration validFor) {
        long nowNs = mScheduler.monotonicNs();
        boolean delaysWrite =
                operation instanceof ClaimOperation.Settle settle
                        && settle.state() != ClaimState.RELEASED;
        long commitByNs = delaysWrite ? nowNs + mSettings.maxSettleDelay().toNanos() : nowNs;
        PendingOperation pending =
                new PendingOperation(operation, nowNs, nowNs + validFor.toNanos(), commitByNs);
        mQueue.post(
                () -> {
                    mPending.add(pending);
                    runNextStep();
                });
        return pending.reply();
    }

    /** Runs the next step that is due; called at the end of every event. */
    private void runNextStep() {
        long nowNs = mScheduler.monotonicNs();
        failExpired(nowNs);
        if (mCallInProgress) {
            return;
        }
        if (mPending.isEmpty()) {
            startIdleTimer();
            return;
        }
        if (mJournal.isEmpty()) {
            load();
            return;
        }
        replyWithoutWrite(mJournal.get(), nowNs);
        if (mCallInProgress || mPending.isEmpty()) {
            return;
        }
        long dueNs = Math.max(mNextCommitNs, earliestCommitByNs());
        if (dueNs > nowNs) {
            scheduleNextStep(Duration.ofNanos(dueNs - nowNs));
        } else {
            commit(mJournal.get());
        }
    }

    private long earliestCommitByNs() {
        return mPending.stream().mapToLong(PendingOperation::commitByNs).min().orElse(0);
    }

    private void scheduleNextStep(Duration delay) {
        mTimer.cancel();
        mTimer = mScheduler.schedule(delay, () -> mQueue.post(this::runNextStep));
    }

    private void startIdleTimer() {
        mIdleTimer.cancel();
        mIdleTimer = mScheduler.schedule(IDLE_TIMEOUT, () -> mQueue.post(this::evictIfIdle));
    }

    private void evictIfIdle() {
        if (!mCallInProgress && mPending.isEmpty()) {
            mJournal = Optional.empty();
            mJournalStore.clearCachedSegments();
        }
    }

    private void failExpired(long nowNs) {
        List<PendingOperation> remaining = new ArrayList<>(mPending.size());
        List<PendingOperation> expired = new ArrayList<>(0);
        for (PendingOperation pending : mPending) {
            (pending.expiresNs() - nowNs <= 0 ? expired : remaining).add(pending);
        }
        mPending = remaining;
        for (PendingOperation pending : expired) {
            pending.fail("the store did not answer in time");
        }
    }

    /**
     * Completes the operations that leave the stored journal unchanged. A copy of the journal that
     * is too old for that is read again first.
     */
    private void replyWithoutWrite(ClaimJournal journal, long nowNs) {
        Set<KeyHash> keysToChange = new HashSet<>();
        List<PendingOperation> toWrite = new ArrayList<>(mPending.size());
        Map<PendingOperation, ShardReply> unchanged = new LinkedHashMap<>();
        for (PendingOperation pending : mPending) {
            Optional<ShardReply> reply =
                    pending.isKnownToChange(mCopyNumber)
                            ? Optional.empty()
                            : journal.replyIfUnchanged(pending.operation(), nowMs());
            if (reply.isPresent() && !keysToChange.contains(pending.operation().key())) {
                unchanged.put(pending, reply.get());
            } else {
                pending.markAsChanging(mCopyNumber);
                keysToChange.add(pending.operation().key());
                toWrite.add(pending);
            }
        }
        if (unchanged.keySet().stream().anyMatch(pending -> needsNewerCopy(pending, nowNs))) {
            load();
            return;
        }
        mPending = toWrite;
        unchanged.forEach((pending, reply) -> pending.reply().complete(reply));
    }

    /**
     * Returns whether the copy of the journal is too old to conclude that an operation leaves it
     * unchanged. A refusal may rest on a slightly old copy, but a settle operation must not miss
     * the claim that it settles.
     */
    private boolean needsNewerCopy(PendingOperation pending, long nowNs) {
        if (pending.operation() instanceof ClaimOperation.Settle) {
            return mCopyAsOfNs - pending.submittedNs() < 0;
        }
        return nowNs - mCopyAsOfNs > mSettings.maxCopyAge().toNanos();
    }

    private void load() {
        mCallInProgress = true;
        mCallStartedNs = mScheduler.monotonicNs();
        var unused =
                mJournalStore
                        .load(nowMs())
                        .whenComplete(
                                (journal, error) ->
                                        mQueue.post(
                                                () ->
                                                        onLoaded(
                                                                error == null
                                                                        ? journal
                                                                        : Optional.empty())));
    }

    private void onLoaded(Optional<ClaimJournal> journal) {
        if (journal.isEmpty()) {
            onStoreFailure();
            return;
        }
        mCallInProgress = false;
        mJournal = journal;
        mCopyNumber++;
        mCopyAsOfNs = mCallStartedNs;
        mBackoff = MIN_BACKOFF;
        runNextStep();
    }

    /** Schedules a retry after a failed store call. The journal is read again first. */
    private void onStoreFailure() {
        mCallInProgress = false;
        mJournal = Optional.empty();
        scheduleNextStep(mBackoff);
        Duration doubled = mBackoff.multipliedBy(2);
        mBackoff = doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
    }

    private void commit(ClaimJournal stored) {
        mCallInProgress = true;
        mCallStartedNs = mScheduler.monotonicNs();
        mNextCommitNs = mCallStartedNs + mSettings.commitInterval().toNanos();
        ClaimJournal next = stored.copy();
        next.removeExpired(nowMs());
        List<PendingOperation> operations = mPending;
        mPending = new ArrayList<>();
        List<ShardReply> replies = new ArrayList<>(operations.size());
        for (PendingOperation pending : operations) {
            replies.add(next.apply(pending.operation(), nowMs()));
        }
        ClaimBatch batch = new ClaimBatch(next, operations, replies);
        var unused =
                mJournalStore
                        .write(next, nowMs())
                        .whenComplete(
                                (result, error) ->
                                        mQueue.post(
                                                () ->
                                                        onWritten(
                                                                batch,
                                                                error == null
                                                                        ? result
                                                                        : unknown(error))));
    }

    private static WriteResult unknown(Throwable error) {
        return new WriteResult.Unknown(error.toString());
    }

    private void onWritten(ClaimBatch batch, WriteResult result) {
        if (result instanceof WriteResult.Applied) {
            mCallInProgress = false;
            mJournal = Optional.of(batch.journal());
            mCopyNumber++;
            mCopyAsOfNs = mCallStartedNs;
            batch.completeReplies();
            runNextStep();
            return;
        }
        requeue(batch.operations());
        if (result instanceof WriteResult.Conflict) {
            mCounters.onConflict();
            mCallInProgress = false;
            mJournal = Optional.empty();
            mNextCommitNs = mScheduler.monotonicNs();
            runNextStep();
            return;
        }
        if (result instanceof WriteResult.Throttled throttled) {
            mCallInProgress = false;
            mNextCommitNs = mScheduler.monotonicNs() + throttled.retryAfter().toNanos();
            runNextStep();
            return;
        }
        if (result instanceof WriteResult.Unknown) {
            mCounters.onUnknown();
            batch.operations().forEach(PendingOperation::onUnknownWrite);
        }
        onStoreFailure();
    }

    private void requeue(List<PendingOperation> operations) {
        List<PendingOperation> all = new ArrayList<>(operations);
        all.addAll(mPending);
        mPending = all;
    }

    private void onEventFailure() {
        mQueue.post(this::onStoreFailure);
    }

    private long nowMs() {
        return mScheduler.instant().toEpochMilli();
    }
}
