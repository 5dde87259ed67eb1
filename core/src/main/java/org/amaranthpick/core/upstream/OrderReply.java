package org.amaranthpick.core.upstream;

/** Reply to an order. */
public sealed interface OrderReply {
    /** The upstream took the order; its status shows when it is done. */
    record Accepted() implements OrderReply {}

    /**
     * The order carried an old fencing number.
     *
     * @param fence highest fencing number that the upstream has seen
     */
    record Fenced(long fence) implements OrderReply {}

    /**
     * The upstream refused the order for another reason.
     *
     * @param reason its reason
     */
    record Refused(String reason) implements OrderReply {}

    /**
     * No answer came; the order may have taken effect.
     *
     * @param reason what was seen
     */
    record Unknown(String reason) implements OrderReply {}
}
