package org.amaranthpick.server.caller;

import io.undertow.server.HttpServerExchange;
import org.amaranthpick.core.request.AnswerSink;
import org.amaranthpick.core.request.Outcome;

/** Collects an answer and sends it whole, or sends the refusal or interruption. */
final class WholeAnswer implements AnswerSink {
    private final HttpServerExchange mExchange;
    private final String mRequestId;
    private final AnswerFormat mFormat;
    private final StringBuilder mText = new StringBuilder();

    WholeAnswer(HttpServerExchange exchange, String requestId, AnswerFormat format) {
        mExchange = exchange;
        mRequestId = requestId;
        mFormat = format;
    }

    @Override
    public synchronized void onToken(int index, String text) {
        mText.append(text);
    }

    @Override
    public void onOutcome(Outcome outcome) {
        mExchange.getIoThread().execute(() -> send(outcome));
    }

    private void send(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun notRun) {
            ResponseWriter.notRun(mExchange, mRequestId, notRun);
        } else if (outcome instanceof Outcome.Interrupted interrupted) {
            ResponseWriter.interrupted(mExchange, mRequestId, interrupted);
        } else {
            sendAnswer(outcome);
        }
    }

    private void sendAnswer(Outcome outcome) {
        String body;
        if (outcome instanceof Outcome.Replayed replayed) {
            mExchange.getResponseHeaders().put(CallerHeaders.REPLAYED, "true");
            body = mFormat.whole(replayed.text(), replayed.finishReason(), 0, 0);
        } else {
            Outcome.Answered answered = (Outcome.Answered) outcome;
            body =
                    mFormat.whole(
                            text(),
                            answered.finishReason(),
                            answered.promptTokens(),
                            answered.tokens());
        }
        ResponseWriter.send(mExchange, mRequestId, 200, OutcomeLabel.ANSWERED, body);
    }

    private synchronized String text() {
        return mText.toString();
    }
}
