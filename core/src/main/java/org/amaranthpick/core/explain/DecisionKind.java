package org.amaranthpick.core.explain;

/** Kinds of decisions that leave a log line and an entry in the trail. */
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
     * Returns the label used as prefix of the log line.
     *
     * @return lower-case label
     */
    public String label() {
        return mLabel;
    }
}
