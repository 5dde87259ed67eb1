package org.amaranthpick.server.caller;

/** Values of the outcome header. */
public final class OutcomeLabel {
    /** The whole answer was given. */
    public static final String ANSWERED = "answered";

    /** The request did not run. */
    public static final String NOT_RUN = "not-run";

    /** The request may have run; the answer is not whole. */
    public static final String INTERRUPTED = "interrupted";

    private OutcomeLabel() {}
}
