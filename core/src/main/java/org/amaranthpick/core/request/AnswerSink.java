package org.amaranthpick.core.request;

/** Receives the answer of one model request. Calls do not overlap. */
public interface AnswerSink {
    /**
     * Receives the next token.
     *
     * @param index index of the token in the answer, from 0 without gaps
     * @param text text of the token
     */
    void onToken(int index, String text);

    /**
     * Receives the outcome; no call follows it.
     *
     * @param outcome the outcome
     */
    void onOutcome(Outcome outcome);
}
