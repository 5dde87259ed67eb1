package org.amaranthpick.core.invariant;

/** Invariants asserted inside the program. */
public enum Invariant {
    LAYERS_ONCE_IN_ORDER("layers_once_in_order"),
    TOKEN_SEQUENCE("token_sequence"),
    ANSWER_OWNER("answer_owner"),
    ONE_OUTCOME("one_outcome"),
    NOT_RUN_IS_TRUE("not_run_is_true"),
    AT_MOST_ONCE("at_most_once"),
    GENERATION_NEVER_FALLS("generation_never_falls"),
    ONE_GENERATION_PER_REQUEST("one_generation_per_request"),
    NOTHING_NEW_TO_LEAVING("nothing_new_to_leaving"),
    FENCE_NEVER_FALLS("fence_never_falls"),
    NO_DESTRUCTIVE_ORDER_WHILE_ROUTED("no_destructive_order_while_routed"),
    LIMIT_SHARES_WITHIN_LIMIT("limit_shares_within_limit");

    private final String mLabel;

    Invariant(String label) {
        mLabel = label;
    }

    /**
     * Returns the label used in metrics and logs.
     *
     * @return lower-case label
     */
    public String label() {
        return mLabel;
    }
}
