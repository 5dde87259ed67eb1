package org.amaranthpick.core.register;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Decides whether an upstream may get a request of this daemon now, by what the register and its
 * own answers say. Unlike its health, this is never overridden: an upstream that may not get a
 * request gets none, even if all others are excluded. Confined to one thread.
 */
public final class UpstreamAdmission {
    private final RequestRateLimits mRateLimits;
    private final LeavingNotices mLeaving = new LeavingNotices();
    private final RequestPauses mPauses = new RequestPauses();

    /** Why an upstream may not get a request. */
    public enum Obstacle {
        /** It is leaving. */
        LEAVING,
        /** It asked for a pause. */
        PAUSED,
        /** It has had as many requests as it takes. */
        LIMITED
    }

    /**
     * What an answer says beside its content.
     *
     * @param leaving whether the upstream is leaving
     * @param pause time for which it wants no requests, empty if it asks for none
     * @param requestLimit requests per second that it takes from all daemons, empty if it names no
     *     limit
     */
    public record Notice(boolean leaving, Optional<Duration> pause, OptionalDouble requestLimit) {}

    /**
     * Creates an admission.
     *
     * @param rateLimits limits that upstreams set to their requests
     */
    public UpstreamAdmission(RequestRateLimits rateLimits) {
        mRateLimits = rateLimits;
    }

    /**
     * Returns what answers say of leaving.
     *
     * @return notices
     */
    public LeavingNotices leaving() {
        return mLeaving;
    }

    /**
     * Records what an answer says.
     *
     * @param upstream upstream that answered
     * @param notice what it says
     * @param nowNs monotonic time
     */
    public void onAnswer(UpstreamEntry upstream, Notice notice, long nowNs) {
        mRateLimits.onResponse(upstream.id(), notice.requestLimit(), nowNs);
        if (notice.leaving()) {
            mLeaving.onNotice(upstream);
        }
        notice.pause().ifPresent(pause -> onPause(upstream, pause, nowNs));
    }

    /**
     * Records that an upstream asks for a pause.
     *
     * @param upstream the upstream
     * @param pause time for which it wants no requests
     * @param nowNs monotonic time
     */
    public void onPause(UpstreamEntry upstream, Duration pause, long nowNs) {
        mPauses.onPause(incarnation(upstream), pause, nowNs);
    }

    /**
     * Records a request that is sent.
     *
     * @param upstream upstream that it is sent to
     * @param nowNs monotonic time
     */
    public void onSent(UpstreamEntry upstream, long nowNs) {
        mRateLimits.onSent(upstream.id(), nowNs);
    }

    /**
     * Returns why an upstream may not get a request now.
     *
     * @param upstream the upstream
     * @param nowNs monotonic time
     * @return obstacle, empty if there is none
     */
    public Optional<Obstacle> obstacle(UpstreamEntry upstream, long nowNs) {
        if (mLeaving.isLeaving(upstream, nowNs)) {
            return Optional.of(Obstacle.LEAVING);
        }
        if (isPaused(upstream, nowNs)) {
            return Optional.of(Obstacle.PAUSED);
        }
        return mRateLimits.allows(upstream.id(), nowNs)
                ? Optional.empty()
                : Optional.of(Obstacle.LIMITED);
    }

    /**
     * Checks whether an upstream may get a request now.
     *
     * @param upstream the upstream
     * @param nowNs monotonic time
     * @return true if there is no obstacle
     */
    public boolean admits(UpstreamEntry upstream, long nowNs) {
        return obstacle(upstream, nowNs).isEmpty();
    }

    /**
     * Checks whether an upstream has asked for a pause that has not passed.
     *
     * @param upstream the upstream
     * @param nowNs monotonic time
     * @return true if nothing at all is to be sent to it
     */
    public boolean isPaused(UpstreamEntry upstream, long nowNs) {
        return mPauses.timeLeft(incarnation(upstream), nowNs).isPresent();
    }

    /**
     * Returns the shortest time after which one of some upstreams takes requests again.
     *
     * @param upstreams upstreams of a service
     * @param nowNs monotonic time
     * @return time, empty if one of them takes requests now or all are leaving
     */
    public Optional<Duration> shortestPause(List<UpstreamEntry> upstreams, long nowNs) {
        Optional<Duration> shortest = Optional.empty();
        for (UpstreamEntry upstream : upstreams) {
            if (mLeaving.isLeaving(upstream, nowNs)) {
                continue;
            }
            Optional<Duration> left = mPauses.timeLeft(incarnation(upstream), nowNs);
            if (left.isEmpty()) {
                return Optional.empty();
            }
            if (shortest.isEmpty() || left.get().compareTo(shortest.get()) < 0) {
                shortest = left;
            }
        }
        return shortest;
    }

    /**
     * Counts the upstreams that may not get a request, for a log line.
     *
     * @param upstreams upstreams of a service
     * @param nowNs monotonic time
     * @return number by obstacle
     */
    public Map<Obstacle, Integer> countObstacles(List<UpstreamEntry> upstreams, long nowNs) {
        Map<Obstacle, Integer> counts = new EnumMap<>(Obstacle.class);
        upstreams.forEach(
                upstream ->
                        obstacle(upstream, nowNs)
                                .ifPresent(found -> counts.merge(found, 1, Integer::sum)));
        return counts;
    }

    private static String incarnation(UpstreamEntry upstream) {
        return upstream.id() + "/" + upstream.startedAtMs();
    }
}
