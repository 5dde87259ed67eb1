package org.amaranthpick.core.follow;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.store.FollowTimings;
import org.amaranthpick.core.store.StoreRevision;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.core.time.Cancellable;

/**
 * Watch through another daemon, or of the store where this daemon has none to follow. It ends, so
 * that the objects are listed again, as soon as the last proof that nothing is missing is older
 * than a change may be late: whether the followed daemon, the link to it or its own watch has
 * failed. Changes are only ever applied on top of the revision that this daemon has.
 */
final class FollowedWatch implements Watch {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Period in which a daemon that watches the store looks for one to follow. */
    private static final Duration REVIEW_PERIOD = Duration.ofSeconds(3);

    /** Spread of the time at which followers of a source that is late turn to the store. */
    private static final Duration STALE_JITTER = Duration.ofMillis(150);

    private final FollowContext mContext;
    private final String mPrefix;
    private final WatchListener mListener;
    private final ChangeHistory mHistory;
    private final FollowTimings mTimings;
    private Watch mOwn = () -> {};
    private Optional<String> mSource = Optional.empty();
    private Cancellable mTimer = () -> {};
    private long mRevision;
    private long mProofNs;
    private int mTurn;
    private boolean mEnded;

    FollowedWatch(
            FollowContext context, String prefix, long afterRevision, WatchListener listener) {
        mContext = context;
        mPrefix = prefix;
        mRevision = afterRevision;
        mListener = listener;
        mHistory = context.changes().history(prefix);
        mTimings = context.timings();
        mProofNs = context.scheduler().monotonicNs();
    }

    void start() {
        Optional<String> source = mContext.roles().source();
        if (source.isPresent()) {
            mContext.changes().onLost(mPrefix);
            follow(source.get());
            return;
        }
        mOwn = mContext.store().watch(mPrefix, mRevision, new OwnListener());
        if (!mEnded) {
            mContext.changes().onProof(mPrefix);
            mTimer = later(jittered(REVIEW_PERIOD), this::review);
        }
    }

    /** Turns from the store to another daemon, if there is one to follow by now. */
    private void review() {
        Optional<String> source = mContext.roles().source();
        if (source.isEmpty()) {
            mTimer = later(jittered(REVIEW_PERIOD), this::review);
            return;
        }
        mOwn.close();
        mOwn = () -> {};
        mContext.changes().onLost(mPrefix);
        follow(source.get());
    }

    private void follow(String source) {
        if (!mSource.equals(Optional.of(source))) {
            sLogger.atInfo().log("following: prefix=%s source=%s", mPrefix, source);
        }
        mSource = Optional.of(source);
        awaitStale();
        ask(source, Duration.ZERO, true);
    }

    private void awaitStale() {
        mTimer.cancel();
        Duration left = mTimings.staleAfter().minus(sinceProof()).minus(jitter(STALE_JITTER));
        mTimer = later(left, this::onStale);
    }

    private void onStale() {
        mSource.ifPresent(mContext.roles()::leaveOut);
        end("the last proof is too old");
    }

    private void ask(String source, Duration wait, boolean repeat) {
        int turn = ++mTurn;
        long sentNs = now();
        mContext.link()
                .ask(
                        source,
                        new FollowRequest(mPrefix, mRevision, wait.toMillis()),
                        wait.plus(mTimings.overdue()),
                        answer -> {
                            if (!mEnded && turn == mTurn) {
                                onAnswer(source, sentNs, answer, repeat);
                            }
                        });
    }

    private void onAnswer(
            String source, long sentNs, Optional<FollowAnswer> reply, boolean repeat) {
        if (reply.isEmpty() && repeat) {
            // The link may have been silent; the repetition goes over a new connection.
            ask(source, Duration.ZERO, false);
            return;
        }
        if (reply.isEmpty()
                || !reply.get().live()
                || StoreRevision.era(reply.get().revision()) < StoreRevision.era(mRevision)) {
            mContext.roles().leaveOut(source);
            followNext();
            return;
        }
        FollowAnswer answer = reply.get();
        if (mContext.store().era() > StoreRevision.era(mRevision)) {
            end("the store is in era " + mContext.store().era());
            return;
        }
        if (!answer.complete()
                || StoreRevision.era(answer.revision()) != StoreRevision.era(mRevision)) {
            end("the history of " + source + " is too short");
            return;
        }
        apply(answer);
        // The answer was made when the request had been held, at the earliest.
        long maxHeldMs = Duration.ofNanos(now() - sentNs).toMillis();
        long heldMs = Math.max(0, Math.min(answer.heldMs(), maxHeldMs));
        long proofNs = sentNs + Duration.ofMillis(heldMs - Math.max(0, answer.ageMs())).toNanos();
        if (proofNs - mProofNs > 0) {
            mProofNs = proofNs;
            awaitStale();
        }
        mContext.onPollReplaced();
        ask(source, mTimings.proofInterval().dividedBy(2), true);
    }

    private void followNext() {
        Optional<String> next = mContext.roles().source();
        if (next.isPresent()) {
            follow(next.get());
        } else {
            end("no other daemon to follow");
        }
    }

    private void apply(FollowAnswer answer) {
        if (answer.revision() <= mRevision) {
            return;
        }
        for (FollowedChange change : answer.changes()) {
            mHistory.add(change);
            if (change.deleted()) {
                mListener.onDeleted(change.key(), change.version());
            } else {
                mListener.onWritten(change.object());
            }
        }
        mRevision = answer.revision();
        mHistory.onProgress(mRevision);
        mListener.onProgress(mRevision);
    }

    private void end(String reason) {
        if (mEnded) {
            return;
        }
        mSource.ifPresent(
                source -> {
                    // Connections to the store may be as silent as the followed daemon is.
                    mContext.store().replaceIdleConnections();
                    sLogger.atInfo().log(
                            "following: prefix=%s source=store reason=\"%s\"", mPrefix, reason);
                });
        close();
        mListener.onEnded(reason);
    }

    @Override
    public void close() {
        if (!mEnded) {
            mEnded = true;
            mTimer.cancel();
            mOwn.close();
        }
    }

    private Cancellable later(Duration delay, Runnable task) {
        return mContext.scheduler()
                .schedule(
                        delay,
                        () -> {
                            if (!mEnded) {
                                task.run();
                            }
                        });
    }

    private long now() {
        return mContext.scheduler().monotonicNs();
    }

    private Duration sinceProof() {
        return Duration.ofNanos(now() - mProofNs);
    }

    private Duration jitter(Duration limit) {
        return Duration.ofNanos(mContext.random().nextLong(limit.toNanos()));
    }

    private Duration jittered(Duration delay) {
        return delay.plus(jitter(delay));
    }

    /** Passes on what the store sends, and keeps it for the followers. */
    private final class OwnListener implements WatchListener {
        @Override
        public void onWritten(StoredObject object) {
            if (isOpen()) {
                mHistory.add(FollowedChange.written(object));
                mListener.onWritten(object);
            }
        }

        @Override
        public void onDeleted(String key, long revision) {
            if (isOpen()) {
                mHistory.add(FollowedChange.deleted(key, revision));
                mListener.onDeleted(key, revision);
            }
        }

        @Override
        public void onProgress(long revision) {
            if (isOpen()) {
                mRevision = revision;
                mProofNs = now();
                mHistory.onProgress(revision);
                mListener.onProgress(revision);
                mContext.changes().onProof(mPrefix);
            }
        }

        @Override
        public void onEnded(String reason) {
            if (isOpen()) {
                end(reason);
            }
        }

        private boolean isOpen() {
            return !mEnded && mSource.isEmpty();
        }
    }
}
