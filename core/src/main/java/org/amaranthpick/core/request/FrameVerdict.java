package org.amaranthpick.core.request;

/** What becomes of a token frame. */
public enum FrameVerdict {
    /** Taken into the answer. */
    ACCEPTED("accepted"),
    /** Of an older attempt, or after the end of the request; dropped. */
    LATE("late"),
    /** Its index was taken before; dropped. */
    DUPLICATE("duplicate"),
    /** Of another request or of an attempt that never was; dropped. */
    FOREIGN("foreign"),
    /** Its layers did not run once each in order; dropped, and the attempt fails. */
    WRONG_TRACE("wrong_trace"),
    /** Beyond the tokens asked for; the attempt fails. */
    OUT_OF_RANGE("out_of_range"),
    /** More than may be held for a paused caller or ahead of a missing token; dropped. */
    OVERFLOW("overflow");

    private final String mLabel;

    FrameVerdict(String label) {
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
