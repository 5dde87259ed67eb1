package org.amaranthpick.core.request;

/** Takes the answer of one request. Calls come one after another. */
public interface AnswerSink {
    /**
     * Takes the next token.
     *
     * @param index index of the token, 0, 1, 2, …
     * @param text text of the token
     */
    void onToken(int index, String text);

    /**
     * Takes the outcome; nothing is told after it.
     *
     * @param outcome the outcome
     */
    void onOutcome(Outcome outcome);
}
