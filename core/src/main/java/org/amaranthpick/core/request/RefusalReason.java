package org.amaranthpick.core.request;

/** Reason why a request was refused without running. */
public enum RefusalReason {
    BAD_REQUEST("bad_request"),
    UNKNOWN_MODEL("unknown_model"),
    LIMIT_REACHED("limit_reached"),
    QUEUE_FULL("queue_full"),
    DEADLINE_UNREACHABLE("deadline_unreachable"),
    NO_CAPACITY("no_capacity"),
    LEAVING("leaving"),
    KEY_IN_PROGRESS("key_in_progress"),
    KEY_OUTCOME_UNKNOWN("key_outcome_unknown"),
    KEY_REUSED("key_reused"),
    CLAIM_UNAVAILABLE("claim_unavailable"),
    CANCELLED("cancelled"),
    UPSTREAM_REFUSED("upstream_refused");

    private final String mLabel;

    RefusalReason(String label) {
        mLabel = label;
    }

    /**
     * Returns the label used in answers, metrics and logs.
     *
     * @return lower-case label
     */
    public String label() {
        return mLabel;
    }
}
