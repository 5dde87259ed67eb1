package org.amaranthpick.core.request;

import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.upstream.ServiceReply;

/** Records the tokens and outcomes that a caller receives. */
final class RecordingSink implements AnswerSink, ServiceSink {
    private final StringBuilder mText = new StringBuilder();
    private final List<Outcome> mOutcomes = new ArrayList<>();
    private final List<ServiceReply.Answered> mReplies = new ArrayList<>();
    private int mTokens;

    @Override
    public void onToken(int index, String text) {
        if (index != mTokens || !mOutcomes.isEmpty()) {
            throw new AssertionError("token " + index + " after " + mTokens + " tokens");
        }
        mTokens++;
        mText.append(text);
    }

    @Override
    public void onOutcome(Outcome outcome) {
        mOutcomes.add(outcome);
    }

    @Override
    public void onAnswered(ServiceReply.Answered reply, boolean replayed) {
        mReplies.add(reply);
        mOutcomes.add(
                replayed
                        ? new Outcome.Replayed("", "")
                        : new Outcome.Answered(Integer.toString(reply.status()), 0, 0));
    }

    @Override
    public void onFailed(Outcome outcome) {
        mOutcomes.add(outcome);
    }

    String text() {
        return mText.toString();
    }

    int tokens() {
        return mTokens;
    }

    boolean hasOutcome() {
        return !mOutcomes.isEmpty();
    }

    Outcome outcome() {
        if (mOutcomes.size() != 1) {
            throw new AssertionError("outcomes " + mOutcomes);
        }
        return mOutcomes.get(0);
    }
}
