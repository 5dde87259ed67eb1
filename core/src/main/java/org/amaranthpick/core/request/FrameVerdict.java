package org.amaranthpick.core.request;

/** Result of checking a token frame. */
public enum FrameVerdict {
    /** Added to the answer. */
    ACCEPTED("accepted"),
    /** Belongs to an earlier attempt or arrived after the end of the request; dropped. */
    LATE("late"),
    /** Its index was accepted before; dropped. */
    DUPLICATE("duplicate"),
    /** Belongs to another request or to an attempt that was never started; dropped. */
    FOREIGN("foreign"),
    /** The layers did not run exactly once in order; dropped, and the attempt fails. */
    WRONG_TRACE("wrong_trace"),
    /** The index exceeds the requested maximum of tokens; the attempt fails. */
    OUT_OF_RANGE("out_of_range"),
    /** The buffer for a paused caller or a missing token is full; dropped. */
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
