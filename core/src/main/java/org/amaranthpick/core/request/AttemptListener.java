package org.amaranthpick.core.request;

import java.util.function.Consumer;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.TokenFrame;
import org.amaranthpick.core.upstream.TokenListener;

/** Forwards the stream events of one attempt to the request's event queue. */
final class AttemptListener implements TokenListener {
    private final Attempt mAttempt;
    private final AttemptEvents mEvents;
    private final Consumer<Runnable> mPost;

    AttemptListener(Attempt attempt, AttemptEvents events, Consumer<Runnable> post) {
        mAttempt = attempt;
        mEvents = events;
        mPost = post;
    }

    @Override
    public void onSending() {
        mPost.accept(() -> mEvents.onSending(mAttempt));
    }

    @Override
    public void onToken(TokenFrame frame) {
        mPost.accept(() -> mEvents.onToken(mAttempt, frame));
    }

    @Override
    public void onEnd(StreamEnd end) {
        mPost.accept(() -> mEvents.onEnd(mAttempt, end));
    }
}
