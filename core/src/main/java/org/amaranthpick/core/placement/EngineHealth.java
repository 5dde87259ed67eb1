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
 * Assesses engines by their observations. An engine that only stops reporting, or is lost for a
 * short time, keeps its place in the plan. An engine that stays unavailable, is leaving or does not
 * carry out its orders is excluded from plans. Guarded by the shard's lock.
 */
final class EngineHealth {
    /** Factor by which observations of engines in other domains may be older. */
    private static final int REMOTE_AGE_FACTOR = 3;

    private final PlacementContext mContext;
    private final EngineTrust mTrust;
    private final Map<Identity, Long> mUnavailableSinceNs = new HashMap<>();

    /** How placement treats an engine. */
    enum State {
        /** Takes part in plans, orders and chains. */
        USABLE,
        /**
         * Keeps its place in the plan, but gets no orders and does not count as part of a chain.
         */
        UNKNOWN,
        /** Excluded from plans. */
        EXCLUDED
    }

    /**
     * Assessment of one engine.
     *
     * @param state how placement treats it
     * @param reason why it is not usable, empty if it is
     */
    record Assessment(State state, String reason) {
        static final Assessment USABLE = new Assessment(State.USABLE, "");
    }

    EngineHealth(PlacementContext context, EngineTrust trust) {
        mContext = context;
        mTrust = trust;
    }

    /** Forgets since when engines are unavailable; called when a shard is taken over. */
    void reset() {
        mUnavailableSinceNs.clear();
    }

    /**
     * Assesses one engine.
     *
     * @param engine engine as configured
     * @param accelerator its accelerators
     * @param observation latest observation
     * @param local true if it is in the shard's own domain
     * @return assessment
     */
    Assessment assess(
            UpstreamSpec engine,
            AcceleratorSpec accelerator,
            Optional<UpstreamObservation> observation,
            boolean local) {
        Optional<String> fault = fault(engine.id(), accelerator, observation);
        if (fault.isPresent()) {
            return new Assessment(State.EXCLUDED, fault.get());
        }
        boolean lost =
                observation
                        .filter(o -> o.reachability() == UpstreamObservation.Reachability.LOST)
                        .isPresent();
        if (lost) {
            return unavailable(engine.id(), mContext.settings().lostGrace(), "the engine is lost");
        }
        if (observation.isEmpty()) {
            return unavailable(
                    engine.id(),
                    mContext.settings().unknownGrace(),
                    "the engine has not reported yet");
        }
        Duration maxAge =
                mContext.settings().maxStatusAge().multipliedBy(local ? 1 : REMOTE_AGE_FACTOR);
        Instant now = mContext.scheduler().instant();
        if (observation.get().sampledAt().plus(maxAge).isBefore(now)) {
            return unavailable(
                    engine.id(), mContext.settings().unknownGrace(), "the last report is too old");
        }
        mUnavailableSinceNs.remove(engine.id());
        return Assessment.USABLE;
    }

    private Optional<String> fault(
            Identity engine,
            AcceleratorSpec accelerator,
            Optional<UpstreamObservation> observation) {
        if (!mTrust.isTrusted(engine)) {
            return Optional.of("the engine did not carry out its orders");
        }
        if (observation.filter(o -> o.status().leaving()).isPresent()) {
            return Optional.of("the engine is leaving");
        }
        return observation.flatMap(o -> StatusCheck.fault(accelerator, o.status()));
    }

    private Assessment unavailable(Identity engine, Duration limit, String reason) {
        long nowNs = mContext.scheduler().monotonicNs();
        long unavailableSinceNs = mUnavailableSinceNs.computeIfAbsent(engine, id -> nowNs);
        State state =
                nowNs - unavailableSinceNs >= limit.toNanos() ? State.EXCLUDED : State.UNKNOWN;
        return new Assessment(state, reason);
    }
}
