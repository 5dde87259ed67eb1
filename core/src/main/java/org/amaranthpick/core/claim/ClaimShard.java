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
 * Operations on one shard, written in groups. Any daemon may write a shard: every write is a
 * compare-and-set of the head object, and a reply is given only once what it says is stored.
 */
final class ClaimShard {
    private static final Duration MIN_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);
    private static final Duration IDLE_TIME = Duration.ofMinutes(10);

    private final ClaimSettings mSettings;
    private final JournalFile mFile;
    private final Scheduler mScheduler;
    private final ClaimCounters mCounters;
    private final SerialQueue mQueue;
    private List<PendingOperation> mPending = new ArrayList<>();
    private Optional<ClaimJournal> mJournal = Optional.empty();
    private Cancellable mTimer = () -> {};
    private Cancellable mIdleTimer = () -> {};
    private Duration mBackoff = MIN_BACKOFF;
    private boolean mBusy;
    private long mEpoch;
    private long mCallStartedNs;
    private long mSyncedNs;
    private long mNextCommitNs;

    ClaimShard(
            ClaimSettings settings, JournalFile file, Scheduler scheduler, ClaimCounters counters) {
        mSettings = settings;
        mFile = file;
        mScheduler = scheduler;
        mCounters = counters;
        mNextCommitNs = scheduler.monotonicNs();
        mQueue = new SerialQueue(e -> onEventFailure());
    }

    /**
     * Performs an operation.
     *
     * @param operation operation
     * @param validFor time after which it is given up
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
        giveUpExpired(nowNs);
        if (mBusy) {
            return;
        }
        if (mPending.isEmpty()) {
            awaitIdle();
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
        } else {
            commit(mJournal.get());
        }
    }

    private long earliestCommitByNs() {
        return mPending.stream().mapToLong(PendingOperation::commitByNs).min().orElse(0);
    }

    private void wakeIn(Duration delay) {
        mTimer.cancel();
        mTimer = mScheduler.schedule(delay, () -> mQueue.post(this::pump));
    }

    private void awaitIdle() {
        mIdleTimer.cancel();
        mIdleTimer = mScheduler.schedule(IDLE_TIME, () -> mQueue.post(this::forgetIfIdle));
    }

    private void forgetIfIdle() {
        if (!mBusy && mPending.isEmpty()) {
            mJournal = Optional.empty();
            mFile.forgetCopies();
        }
    }

    private void giveUpExpired(long nowNs) {
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
            Optional<ShardReply> reply =
                    pending.isJudged(mEpoch)
                            ? Optional.empty()
                            : journal.peek(pending.operation(), nowMs());
            if (reply.isPresent() && !changing.contains(pending.operation().key())) {
                answered.put(pending, reply.get());
            } else {
                pending.onJudged(mEpoch);
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
        var unused =
                mFile.load(nowMs())
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
            onFailure();
            return;
        }
        mBusy = false;
        mJournal = journal;
        mEpoch++;
        mSyncedNs = mCallStartedNs;
        mBackoff = MIN_BACKOFF;
        pump();
    }

    /** The store gave nothing; reads the journal again later. */
    private void onFailure() {
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
        next.forget(nowMs());
        List<PendingOperation> batch = mPending;
        mPending = new ArrayList<>();
        List<ShardReply> replies = new ArrayList<>(batch.size());
        for (PendingOperation pending : batch) {
            replies.add(next.apply(pending.operation(), nowMs()));
        }
        ClaimBatch work = new ClaimBatch(next, batch, replies);
        var unused =
                mFile.store(next, nowMs())
                        .whenComplete(
                                (result, error) ->
                                        mQueue.post(
                                                () ->
                                                        onStored(
                                                                work,
                                                                error == null
                                                                        ? result
                                                                        : unknown(error))));
    }

    private static WriteResult unknown(Throwable error) {
        return new WriteResult.Unknown(error.toString());
    }

    private void onStored(ClaimBatch work, WriteResult result) {
        if (result instanceof WriteResult.Applied) {
            mBusy = false;
            mJournal = Optional.of(work.next());
            mEpoch++;
            mSyncedNs = mCallStartedNs;
            work.reply();
            pump();
            return;
        }
        putBack(work.batch());
        if (result instanceof WriteResult.Conflict) {
            mCounters.onConflict();
            mBusy = false;
            mJournal = Optional.empty();
            mNextCommitNs = mScheduler.monotonicNs();
            pump();
            return;
        }
        if (result instanceof WriteResult.Throttled throttled) {
            mBusy = false;
            mNextCommitNs = mScheduler.monotonicNs() + throttled.retryAfter().toNanos();
            pump();
            return;
        }
        if (result instanceof WriteResult.Unknown) {
            mCounters.onUnknown();
            work.batch().forEach(PendingOperation::onUnknownWrite);
        }
        onFailure();
    }

    private void putBack(List<PendingOperation> batch) {
        List<PendingOperation> all = new ArrayList<>(batch);
        all.addAll(mPending);
        mPending = all;
    }

    private void onEventFailure() {
        mQueue.post(this::onFailure);
    }

    private long nowMs() {
        return mScheduler.instant().toEpochMilli();
    }
}
