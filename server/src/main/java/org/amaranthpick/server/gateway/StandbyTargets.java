package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.gateway.Target;

/** Selects where a request is sent beside its current attempt, within the limits for retries. */
final class StandbyTargets {
    private final ForwardedRequest mRequest;
    private final GatewayContext mContext;
    private final AttemptPair mAttempts;
    private final SendHistory mSends;

    StandbyTargets(
            ForwardedRequest request,
            GatewayContext context,
            AttemptPair attempts,
            SendHistory sends) {
        mRequest = request;
        mContext = context;
        mAttempts = attempts;
        mSends = sends;
    }

    /**
     * Acquires a send to another target.
     *
     * @param excluded upstreams that are not tried
     * @param fromBudget whether it is taken from the retry budget
     * @param timeLeft time left for a retry
     * @return the target, empty if there is none or no send is allowed
     */
    Optional<Target> acquire(Set<String> excluded, boolean fromBudget, Duration timeLeft) {
        ForwardAttempt current = mAttempts.current().get();
        if (mContext.upstreams().isIsolated()
                || mContext.upstreams().isLastPath(current.relay())
                || !mSends.admitsFurtherSend()) {
            return Optional.empty();
        }
        Optional<Target> target = choose(current, excluded);
        if (target.isEmpty() || !fromBudget) {
            return target;
        }
        boolean received = mAttempts.hasReceivedEvent(current);
        return mSends.acquireRetryInsteadOf(current, received, timeLeft)
                ? target
                : Optional.empty();
    }

    /** Chooses a target that begins elsewhere; a chain may begin there if no other one is left. */
    private Optional<Target> choose(ForwardAttempt current, Set<String> excluded) {
        Set<String> used = new HashSet<>(excluded);
        used.add(current.target().upstream().id());
        mAttempts.standby().ifPresent(standby -> used.add(standby.target().upstream().id()));
        Optional<Target> elsewhere = chooseWithout(used);
        return elsewhere.isPresent() || current.target().chain().isEmpty()
                ? elsewhere
                : chooseWithout(excluded);
    }

    private Optional<Target> chooseWithout(Set<String> excluded) {
        return mContext.targetPolicy()
                .choose(mRequest.service(), excluded, mContext.scheduler().monotonicNs());
    }
}
