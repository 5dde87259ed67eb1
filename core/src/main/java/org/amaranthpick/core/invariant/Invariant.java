package org.amaranthpick.core.invariant;

/** Invariants checked at run time. */
public enum Invariant {
    /** Each token has run through every layer once, in order. */
    LAYERS_ONCE_IN_ORDER("layers_once_in_order"),
    /** Tokens of an answer are emitted in sequence, without gaps or duplicates. */
    TOKEN_SEQUENCE("token_sequence"),
    /** Tokens are emitted only to the request that they belong to. */
    ANSWER_OWNER("answer_owner"),
    /** A request ends with one outcome only. */
    ONE_OUTCOME("one_outcome"),
    /** A request that was read ends, within its time limit. */
    EVERY_REQUEST_ENDS("every_request_ends"),
    /** A request that is reported as not run cannot have run anywhere. */
    NOT_RUN_IS_TRUE("not_run_is_true"),
    /** A request that is not idempotent is not attempted again once it may have run. */
    AT_MOST_ONCE("at_most_once"),
    /** The configuration generation in force never falls, and has one content. */
    GENERATION_NEVER_FALLS("generation_never_falls"),
    /** A request uses one configuration generation throughout. */
    ONE_GENERATION_PER_REQUEST("one_generation_per_request"),
    /** No new work is sent to an upstream that is known to be leaving. */
    NOTHING_NEW_TO_LEAVING("nothing_new_to_leaving"),
    /** The fence of a control shard never falls. */
    FENCE_NEVER_FALLS("fence_never_falls"),
    /** No destructive order is sent to an upstream that requests may be routed to. */
    NO_DESTRUCTIVE_ORDER_WHILE_ROUTED("no_destructive_order_while_routed"),
    /** The granted shares of a limit add up to no more than the limit. */
    LIMIT_SHARES_WITHIN_LIMIT("limit_shares_within_limit");

    private final String mLabel;

    Invariant(String label) {
        mLabel = label;
    }

    /**
     * Returns the label used in metrics and log lines.
     *
     * @return lower-case label
     */
    public String label() {
        return mLabel;
    }
}
