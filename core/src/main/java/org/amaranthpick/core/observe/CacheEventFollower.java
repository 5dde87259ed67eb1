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
 * Applies the cache events of the observed engines to the prefix index. A gap in the sequence of an
 * engine marks its prefixes as uncertain; later events are buffered. If the gap is not filled in
 * time, the engine's prefixes are removed, the buffered events are applied, and the engine is
 * subscribed to again. A subscription that stays behind the reported sequence is replaced.
 */
final class CacheEventFollower implements Controller {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final long MAX_LAG_NS = Duration.ofSeconds(5).toNanos();
    private static final int MAX_BUFFERED_EVENTS = 256;

    private final Blackboard mBoard;
    private final ObserverAssignments mAssignments;
    private final UpstreamClient mClient;
    private final PrefixIndex mPrefixes;
    private final Scheduler mScheduler;
    private final Map<Identity, EngineFollower> mFollowers = new HashMap<>();

    CacheEventFollower(
            Observation.Context context, ObserverAssignments assignments, PrefixIndex prefixes) {
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
        Map<Identity, ObserverAssignments.Assignment> assigned = mAssignments.current();
        Iterator<EngineFollower> followers = mFollowers.values().iterator();
        while (followers.hasNext()) {
            EngineFollower follower = followers.next();
            if (!assigned.containsKey(follower.mSpec.id())) {
                follower.stop();
                followers.remove();
            }
        }
        for (ObserverAssignments.Assignment assignment : assigned.values()) {
            if (assignment.spec().role() == UpstreamSpec.Role.ENGINE) {
                mFollowers
                        .computeIfAbsent(
                                assignment.spec().id(),
                                key -> new EngineFollower(assignment.spec()))
                        .checkSubscription();
            }
        }
    }

    /** Subscription to one engine and the position in its event sequence. */
    private final class EngineFollower {
        private final UpstreamSpec mSpec;
        private final Map<Long, CacheEvent> mBufferedEvents = new TreeMap<>();
        private Subscription mSubscription;
        private String mBootId = "";
        private long mAppliedSequence;
        private long mBehindSinceNs = -1;

        EngineFollower(UpstreamSpec spec) {
            mSpec = spec;
        }

        /**
         * Subscribes if there is no subscription, and again if the applied events have been behind
         * the sequence in the engine's status for {@link #MAX_LAG_NS}.
         */
        synchronized void checkSubscription() {
            if (mSubscription == null) {
                subscribe();
                return;
            }
            Optional<UpstreamObservation> observation = mBoard.upstreams().get(mSpec.id());
            boolean behind =
                    observation.isPresent()
                            && observation.get().status().eventSequence() > mAppliedSequence;
            if (!behind) {
                mBehindSinceNs = -1;
            } else if (mBehindSinceNs < 0) {
                mBehindSinceNs = mScheduler.monotonicNs();
            } else if (mScheduler.monotonicNs() - mBehindSinceNs >= MAX_LAG_NS) {
                skipGap();
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
            mSubscription.setHandle(mClient.cacheEvents(mSpec, mAppliedSequence, mSubscription));
        }

        private synchronized void onEvent(Subscription subscription, CacheEvent event) {
            if (subscription != mSubscription) {
                return;
            }
            if (!event.bootId().equals(mBootId)) {
                mBootId = event.bootId();
                mAppliedSequence = event.sequence() - 1;
                mBufferedEvents.clear();
                mPrefixes.invalidate(mSpec.id());
            }
            if (event.sequence() <= mAppliedSequence) {
                return;
            }
            if (event.sequence() > mAppliedSequence + 1) {
                bufferAfterGap(event);
                return;
            }
            apply(event);
            while (mBufferedEvents.containsKey(mAppliedSequence + 1)) {
                apply(mBufferedEvents.remove(mAppliedSequence + 1));
            }
        }

        private void bufferAfterGap(CacheEvent event) {
            if (mBufferedEvents.isEmpty()) {
                sLogger.atInfo().log(
                        "observe: gap in the cache events of %s; its prefixes are uncertain",
                        mSpec.id());
                mPrefixes.markUncertain(mSpec.id());
            }
            if (mBufferedEvents.size() < MAX_BUFFERED_EVENTS) {
                mBufferedEvents.put(event.sequence(), event);
            }
        }

        /** Applies the buffered events after a gap that was not filled in time. */
        private void skipGap() {
            if (mBufferedEvents.isEmpty()) {
                mPrefixes.markUncertain(mSpec.id());
                return;
            }
            mPrefixes.invalidate(mSpec.id());
            mBufferedEvents.values().forEach(this::apply);
            mBufferedEvents.clear();
        }

        private void apply(CacheEvent event) {
            mAppliedSequence = event.sequence();
            if (event.stored()) {
                mPrefixes.recordStored(mSpec.id(), event.blockHashes(), true);
            } else {
                mPrefixes.recordEvicted(mSpec.id(), event.blockHashes());
            }
        }

        private synchronized void onEnded(Subscription subscription) {
            if (subscription == mSubscription) {
                mSubscription = null;
                mPrefixes.markUncertain(mSpec.id());
            }
        }
    }

    /** Listener of one subscription; the follower ignores its events after it was replaced. */
    private static final class Subscription implements CacheEventListener {
        private final EngineFollower mFollower;
        private AutoCloseable mHandle = () -> {};

        Subscription(EngineFollower follower) {
            mFollower = follower;
        }

        void setHandle(AutoCloseable handle) {
            mHandle = handle;
        }

        void close() {
            try {
                mHandle.close();
            } catch (Exception e) {
                sLogger.atInfo().log(
                        "observe: cannot close a cache event subscription: %s", e.getMessage());
            }
        }

        @Override
        public void onEvent(CacheEvent event) {
            mFollower.onEvent(this, event);
        }

        @Override
        public void onEnded(String reason) {
            mFollower.onEnded(this);
        }
    }
}
