package org.amaranthpick.core.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation;

/**
 * Judges engines by what is observed of them. An engine that is merely silent, or lost for a
 * moment, keeps its place in the plan; one that stays away, leaves or does not do what it is told
 * gives it up. Guarded by the shard's lock.
 */
final class EngineHealth {
    /** Factor by which observations of other domains may be older. */
    private static final int FAR_AGE_FACTOR = 3;

    private final PlacementContext mContext;
    private final TrustTable mTrust;
    private final Map<Identity, Long> mAwaySinceNs = new HashMap<>();

    /** What placement does with an engine. */
    enum State {
        /** Planned, ordered and relied on. */
        USABLE,
        /** Keeps its place in the plan, but gets no orders and no chain relies on it. */
        UNKNOWN,
        /** Left out of plans. */
        OUT
    }

    /**
     * Judgement on one engine.
     *
     * @param state what placement does with it
     * @param reason why it is not usable, empty if it is
     */
    record Verdict(State state, String reason) {
        static final Verdict USABLE = new Verdict(State.USABLE, "");
    }

    EngineHealth(PlacementContext context, TrustTable trust) {
        mContext = context;
        mTrust = trust;
    }

    /** Forgets since when engines are away, as when a shard is taken over. */
    void start() {
        mAwaySinceNs.clear();
    }

    /**
     * Judges one engine.
     *
     * @param engine engine as configured
     * @param accelerator its accelerators
     * @param seen last observation
     * @param near true if it stands in the shard's own domain
     * @return judgement
     */
    Verdict judge(
            UpstreamSpec engine,
            AcceleratorSpec accelerator,
            Optional<UpstreamObservation> seen,
            boolean near) {
        Optional<String> fault = fault(engine.id(), accelerator, seen);
        if (fault.isPresent()) {
            return new Verdict(State.OUT, fault.get());
        }
        boolean lost =
                seen.filter(o -> o.reachability() == UpstreamObservation.Reachability.LOST)
                        .isPresent();
        if (lost) {
            return away(engine.id(), mContext.settings().lostGrace(), "it is lost");
        }
        if (seen.isEmpty()) {
            return away(engine.id(), mContext.settings().unknownLimit(), "it was never seen");
        }
        Duration maxAge =
                mContext.settings().maxStatusAge().multipliedBy(near ? 1 : FAR_AGE_FACTOR);
        Instant now = mContext.scheduler().instant();
        if (seen.get().sampledAt().plus(maxAge).isBefore(now)) {
            return away(
                    engine.id(), mContext.settings().unknownLimit(), "its last report is too old");
        }
        mAwaySinceNs.remove(engine.id());
        return Verdict.USABLE;
    }

    private Optional<String> fault(
            Identity engine, AcceleratorSpec accelerator, Optional<UpstreamObservation> seen) {
        if (!mTrust.trusted(engine)) {
            return Optional.of("it did not do what it was told");
        }
        if (seen.filter(o -> o.status().leaving()).isPresent()) {
            return Optional.of("it is leaving");
        }
        return seen.flatMap(o -> StatusCheck.fault(accelerator, o.status()));
    }

    private Verdict away(Identity engine, Duration limit, String reason) {
        long nowNs = mContext.scheduler().monotonicNs();
        long sinceNs = mAwaySinceNs.computeIfAbsent(engine, id -> nowNs);
        State state = nowNs - sinceNs >= limit.toNanos() ? State.OUT : State.UNKNOWN;
        return new Verdict(state, reason);
    }
}
