package org.amaranthpick.core.gateway.admission;

import java.time.Duration;

/**
 * Decision on a request.
 *
 * @param outcome whether the request is sent
 * @param reason reason of the decision
 * @param waited time for which the request has waited for it
 * @param retryAfter predicted time until there is room for a request that is refused, zero for one
 *     that is sent
 * @param figures what the decision was based on, for the log
 */
public record LoadDecision(
        Outcome outcome, Reason reason, Duration waited, Duration retryAfter, String figures) {
    /** What happens with the request. */
    public enum Outcome {
        /** It is sent now. */
        SENT,
        /** It has not run and will not. */
        REFUSED
    }

    /** Why. */
    public enum Reason {
        /** The room is unknown. */
        UNKNOWN,
        /** There is room. */
        ROOM,
        /** Its caller would leave before there is room. */
        FULL,
        /** Too little time is left to answer it. */
        NO_TIME,
        /** It waited, and its place was needed for one whose refusal costs more. */
        PASSED_OVER
    }
}
