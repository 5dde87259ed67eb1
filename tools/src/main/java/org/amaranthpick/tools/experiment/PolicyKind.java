package org.amaranthpick.tools.experiment;

import java.util.List;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.gateway.LeastLoadedTargetPolicy;
import org.amaranthpick.core.gateway.TargetPolicy;
import org.amaranthpick.core.register.RequestRateLimits;
import org.amaranthpick.core.register.UpstreamAdmission;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.core.room.RoomView;

/** Ways to choose a chain: the gateway's own, and those it is compared with. */
public enum PolicyKind {
    /** What gateways do. */
    GATEWAY,
    /** The fastest chain with a queue. */
    FIRST_COME,
    /** Fewest own requests in progress. */
    LEAST_OUTSTANDING,
    /** Any chain. */
    RANDOM;

    /**
     * Returns the name for reports.
     *
     * @return words joined by hyphens
     */
    public String label() {
        return Labels.of(this);
    }

    TargetPolicy create(
            UpstreamRegister register,
            UpstreamHealth health,
            String domain,
            int daemons,
            RandomGenerator random) {
        ChainSource chains = new ChainSource(register, health, domain);
        return switch (this) {
            case GATEWAY ->
                    new LeastLoadedTargetPolicy(
                            register,
                            health,
                            new UpstreamAdmission(
                                    new RequestRateLimits(
                                            "", List::of, () -> 1, id -> true, random)),
                            domain,
                            () -> daemons,
                            RoomView.unknown(),
                            random);
            case FIRST_COME -> BaselinePolicy.firstCome(chains);
            case LEAST_OUTSTANDING -> BaselinePolicy.leastOutstanding(chains, random);
            case RANDOM -> BaselinePolicy.random(chains, random);
        };
    }
}
