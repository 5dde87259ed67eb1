package org.amaranthpick.core.explain;

/** Kinds of decisions recorded in the decision log. */
public enum DecisionKind {
    ADMISSION("admission"),
    CLAIM("claim"),
    CHAIN("chain"),
    ATTEMPT("attempt"),
    RETRY("retry"),
    EJECTION("ejection"),
    OUTCOME("outcome"),
    PLACEMENT("placement"),
    ORDER("order"),
    LEASE("lease"),
    MEMBERSHIP("membership"),
    CONFIGURATION("configuration");

    private final String mLabel;

    DecisionKind(String label) {
        mLabel = label;
    }

    /**
     * Returns the label used as the prefix of the log line.
     *
     * @return lower-case label
     */
    public String label() {
        return mLabel;
    }
}
