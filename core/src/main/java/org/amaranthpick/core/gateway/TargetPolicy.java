package org.amaranthpick.core.gateway;

import java.util.Optional;
import java.util.Set;

/** Chooses the target of each attempt and is notified of its progress. Confined to one thread. */
public interface TargetPolicy {
    /**
     * Chooses the target of an attempt.
     *
     * @param service service of the request
     * @param tried ids of upstreams at which this request has failed
     * @param nowNs monotonic time
     * @return target, empty if no upstream can run the request
     */
    Optional<Target> choose(GatewayService service, Set<String> tried, long nowNs);

    /**
     * Decides whether a new request is sent at all.
     *
     * @param service service of the request
     * @param nowNs monotonic time
     * @return false to refuse it at once
     */
    default boolean admits(GatewayService service, long nowNs) {
        return true;
    }

    /**
     * Records the start of an attempt.
     *
     * @param target target of the attempt
     */
    void onSent(Target target);

    /**
     * Records the latency of an event.
     *
     * @param target target of the attempt
     * @param pauseMs time since the previous event
     * @param tokens number of tokens in the event
     * @param nowNs monotonic time
     */
    void onEvent(Target target, double pauseMs, int tokens, long nowNs);

    /**
     * Records the end of an attempt.
     *
     * @param target target of the attempt
     */
    void onEnded(Target target);
}
