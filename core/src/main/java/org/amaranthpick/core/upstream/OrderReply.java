package org.amaranthpick.core.upstream;

/** Reply of an engine to an order. */
public sealed interface OrderReply {
    /** The engine accepted the order; its status reports the progress. */
    record Accepted() implements OrderReply {}

    /**
     * The engine rejected the order because of an outdated fencing token.
     *
     * @param fence highest fencing token that the engine has seen
     */
    record Fenced(long fence) implements OrderReply {}

    /**
     * The engine refused the order for another reason.
     *
     * @param reason reason sent by the engine
     */
    record Refused(String reason) implements OrderReply {}

    /**
     * No reply arrived; the order may have taken effect.
     *
     * @param reason observed failure
     */
    record Unknown(String reason) implements OrderReply {}
}
