package org.amaranthpick.core.request;

/** Replaces the sink of a caller that disconnected. */
final class DiscardingSink implements AnswerSink {
    @Override
    public void onToken(int index, String text) {}

    @Override
    public void onOutcome(Outcome outcome) {}
}
