package org.amaranthpick.core.observe;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.upstream.CacheEvent;
import org.amaranthpick.core.upstream.CacheEventListener;
import org.amaranthpick.core.upstream.UpstreamClient;

/**
 * Follows the cache events of the engines that this daemon observes. A gap makes the engine's
 * prefixes doubtful and starts a new subscription after the last event in sequence; events that are
 * gone for good make them unknown. A subscription behind the reported sequence is replaced.
 */
final class CacheEventFollower implements Controller {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final long PATIENCE_NS = Duration.ofSeconds(5).toNanos();
    private static final int MAX_EARLY_EVENTS = 256;

    private final Blackboard mBoard;
    private final Assignments mAssignments;
    private final UpstreamClient mClient;
    private final PrefixIndex mPrefixes;
    private final Scheduler mScheduler;
    private final Map<Identity, Follow> mFollows = new HashMap<>();

    CacheEventFollower(Observation.Context context, Assignments assignments, PrefixIndex prefixes) {
        mBoard = context.board();
        mAssignments = assignments;
        mClient = context.client();
        mPrefixes = prefixes;
        mScheduler = context.scheduler();
    }

    @Override
    public String name() {
        return "cache-events";
    }

    @Override
    public Duration period() {
        return PERIOD;
    }

    @Override
    public synchronized void step() {
        Map<Identity, Assignments.Assignment> assigned = mAssignments.current();
        Iterator<Follow> follows = mFollows.values().iterator();
        while (follows.hasNext()) {
            Follow follow = follows.next();
            if (!assigned.containsKey(follow.mSpec.id())) {
                follow.stop();
                follows.remove();
            }
        }
        for (Assignments.Assignment assignment : assigned.values()) {
            if (assignment.spec().role() == UpstreamSpec.Role.ENGINE) {
                mFollows.computeIfAbsent(
                                assignment.spec().id(), key -> new Follow(assignment.spec()))
                        .check();
            }
        }
    }

    /** Events of one engine. */
    private final class Follow {
        private final UpstreamSpec mSpec;
        private final Map<Long, CacheEvent> mEarly = new TreeMap<>();
        private Subscription mSubscription;
        private String mBootId = "";
        private long mSequence;
        private long mBehindSinceNs = -1;

        Follow(UpstreamSpec spec) {
            mSpec = spec;
        }

        /** Subscribes if need be, and again if the engine is ahead of the events for too long. */
        synchronized void check() {
            if (mSubscription == null) {
                subscribe();
                return;
            }
            Optional<UpstreamObservation> seen = mBoard.upstreams().get(mSpec.id());
            boolean behind = seen.isPresent() && seen.get().status().eventSequence() > mSequence;
            if (!behind) {
                mBehindSinceNs = -1;
            } else if (mBehindSinceNs < 0) {
                mBehindSinceNs = mScheduler.monotonicNs();
            } else if (mScheduler.monotonicNs() - mBehindSinceNs >= PATIENCE_NS) {
                giveUpGap();
                subscribe();
            }
        }

        synchronized void stop() {
            if (mSubscription != null) {
                mSubscription.close();
                mSubscription = null;
            }
        }

        private void subscribe() {
            stop();
            mBehindSinceNs = -1;
            mSubscription = new Subscription(this);
            mSubscription.open(mClient.cacheEvents(mSpec, mSequence, mSubscription));
        }

        private synchronized void onEvent(Subscription from, CacheEvent event) {
            if (from != mSubscription) {
                return;
            }
            if (!event.bootId().equals(mBootId)) {
                mBootId = event.bootId();
                mSequence = event.sequence() - 1;
                mEarly.clear();
                mPrefixes.clear(mSpec.id());
            }
            if (event.sequence() <= mSequence) {
                return;
            }
            if (event.sequence() > mSequence + 1) {
                onGap(event);
                return;
            }
            apply(event);
            while (mEarly.containsKey(mSequence + 1)) {
                apply(mEarly.remove(mSequence + 1));
            }
        }

        private void onGap(CacheEvent event) {
            if (mEarly.isEmpty()) {
                sLogger.atInfo().log("observe: cache events of %s have a gap", mSpec.id());
                mPrefixes.doubt(mSpec.id());
            }
            if (mEarly.size() < MAX_EARLY_EVENTS) {
                mEarly.put(event.sequence(), event);
            }
        }

        /** Takes the events after a gap that was not filled in time. */
        private void giveUpGap() {
            if (mEarly.isEmpty()) {
                mPrefixes.doubt(mSpec.id());
                return;
            }
            mPrefixes.clear(mSpec.id());
            mEarly.values().forEach(this::apply);
            mEarly.clear();
        }

        private void apply(CacheEvent event) {
            mSequence = event.sequence();
            if (event.stored()) {
                mPrefixes.stored(mSpec.id(), event.blockHashes(), true);
            } else {
                mPrefixes.evicted(mSpec.id(), event.blockHashes());
            }
        }

        private synchronized void onEnded(Subscription from) {
            if (from == mSubscription) {
                mSubscription = null;
                mPrefixes.doubt(mSpec.id());
            }
        }
    }

    /** One subscription; told of nothing once it was replaced. */
    private static final class Subscription implements CacheEventListener {
        private final Follow mFollow;
        private AutoCloseable mHandle = () -> {};

        Subscription(Follow follow) {
            mFollow = follow;
        }

        void open(AutoCloseable handle) {
            mHandle = handle;
        }

        void close() {
            try {
                mHandle.close();
            } catch (Exception e) {
                sLogger.atInfo().log("observe: closing a subscription failed: %s", e.getMessage());
            }
        }

        @Override
        public void onEvent(CacheEvent event) {
            mFollow.onEvent(this, event);
        }

        @Override
        public void onEnded(String reason) {
            mFollow.onEnded(this);
        }
    }
}
