package org.amaranthpick.core.layers;

/** Outcome of a layer order. */
public sealed interface OrderOutcome {
    /** The engine has begun the order, or holds the layers already. */
    record Accepted() implements OrderOutcome {}

    /** The engine's state differs from the expected one; the order was not executed. */
    record Conflict() implements OrderOutcome {}

    /** The engine has seen a higher fencing token; the lease is lost. */
    record Fenced() implements OrderOutcome {}

    /**
     * The engine refused the order for another reason.
     *
     * @param reason cause
     */
    record Refused(String reason) implements OrderOutcome {}

    /**
     * The engine did not answer; it may have executed the order or may still do so.
     *
     * @param reason cause
     */
    record Unknown(String reason) implements OrderOutcome {}
}
