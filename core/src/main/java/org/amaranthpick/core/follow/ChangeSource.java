package org.amaranthpick.core.follow;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/**
 * Answers daemons that follow this one. A request is held until this daemon gets a response of the
 * store, so that its followers' knowledge is as fresh as its own. It answers only while it watches
 * the store itself: knowledge at third hand would hide its age. Confined to one thread.
 */
public final class ChangeSource {
    private static final int MAX_HELD = 1024;
    private static final long MAX_WAIT_MS = 10_000;

    private final Scheduler mScheduler;
    private final Map<String, Followed> mFollowed = new HashMap<>();

    /** What is known of the objects under a prefix. */
    private static final class Followed {
        final ChangeHistory mHistory = new ChangeHistory();
        final Set<Held> mHeld = new LinkedHashSet<>();
        boolean mLive;
        long mProofNs;
    }

    /** A request that waits for changes. */
    private static final class Held {
        final FollowRequest mRequest;
        final long mSinceNs;
        final Consumer<FollowAnswer> mThen;
        Cancellable mTimer = () -> {};

        Held(FollowRequest request, long sinceNs, Consumer<FollowAnswer> then) {
            mRequest = request;
            mSinceNs = sinceNs;
            mThen = then;
        }
    }

    /**
     * Creates a source without followers.
     *
     * @param scheduler clock and timers
     */
    public ChangeSource(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /**
     * Handles the request of a follower.
     *
     * @param request the request
     * @param then receives the answer once, perhaps before this method returns
     */
    public void ask(FollowRequest request, Consumer<FollowAnswer> then) {
        Followed followed = mFollowed.get(request.prefix());
        if (followed == null || !followed.mLive) {
            then.accept(FollowAnswer.NOT_LIVE);
            return;
        }
        Held held = new Held(request, mScheduler.monotonicNs(), then);
        boolean wait = request.waitMs() > 0 && request.after() >= followed.mHistory.revision();
        if (!wait || followed.mHeld.size() >= MAX_HELD) {
            answer(followed, held);
            return;
        }
        followed.mHeld.add(held);
        held.mTimer =
                mScheduler.schedule(
                        Duration.ofMillis(Math.min(request.waitMs(), MAX_WAIT_MS)),
                        () -> {
                            if (followed.mHeld.remove(held)) {
                                answer(followed, held);
                            }
                        });
    }

    /**
     * Returns the number of requests that are held.
     *
     * @return about the number of followers, for each prefix
     */
    public int held() {
        return mFollowed.values().stream().mapToInt(followed -> followed.mHeld.size()).sum();
    }

    ChangeHistory history(String prefix) {
        return followed(prefix).mHistory;
    }

    /** Answers the held requests after a response of the store. */
    void onProof(String prefix) {
        Followed followed = followed(prefix);
        followed.mLive = true;
        followed.mProofNs = mScheduler.monotonicNs();
        answerAll(followed);
    }

    /** Sends the followers elsewhere, since this daemon has lost the store or follows another. */
    void onLost(String prefix) {
        Followed followed = followed(prefix);
        followed.mLive = false;
        answerAll(followed);
    }

    private Followed followed(String prefix) {
        return mFollowed.computeIfAbsent(prefix, p -> new Followed());
    }

    private void answerAll(Followed followed) {
        List<Held> held = List.copyOf(followed.mHeld);
        followed.mHeld.clear();
        held.forEach(one -> answer(followed, one));
    }

    private void answer(Followed followed, Held held) {
        held.mTimer.cancel();
        if (!followed.mLive) {
            held.mThen.accept(FollowAnswer.NOT_LIVE);
            return;
        }
        Optional<List<FollowedChange>> changes = followed.mHistory.after(held.mRequest.after());
        held.mThen.accept(
                new FollowAnswer(
                        true,
                        changes.isPresent(),
                        followed.mHistory.revision(),
                        sinceMs(followed.mProofNs) + 1,
                        sinceMs(held.mSinceNs),
                        changes.orElse(List.of())));
    }

    /** Full milliseconds since a time. */
    private long sinceMs(long timeNs) {
        return Duration.ofNanos(mScheduler.monotonicNs() - timeNs).toMillis();
    }
}
