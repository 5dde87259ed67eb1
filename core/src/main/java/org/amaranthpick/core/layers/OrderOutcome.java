package org.amaranthpick.core.layers;

/** What came of an order. */
public sealed interface OrderOutcome {
    /** The order has begun, or what it wants holds already. */
    record Accepted() implements OrderOutcome {}

    /** The engine's state is not the expected one; nothing was done. */
    record Conflict() implements OrderOutcome {}

    /** A higher fencing number was seen; the lease is lost. */
    record Fenced() implements OrderOutcome {}

    /**
     * The engine refused the order for another reason.
     *
     * @param reason what was seen
     */
    record Refused(String reason) implements OrderOutcome {}

    /**
     * No answer: the order may be carried out, also later.
     *
     * @param reason what was seen
     */
    record Unknown(String reason) implements OrderOutcome {}
}
