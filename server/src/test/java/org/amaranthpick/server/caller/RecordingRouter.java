package org.amaranthpick.server.caller;

import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthpick.core.request.AnswerSink;
import org.amaranthpick.core.request.ModelRequest;
import org.amaranthpick.core.request.Outcome;
import org.amaranthpick.core.request.RequestHandle;
import org.amaranthpick.core.request.Router;
import org.amaranthpick.core.request.ServiceRequest;
import org.amaranthpick.core.request.ServiceSink;
import org.amaranthpick.core.upstream.ServiceReply;

/** Router that counts submissions and answers each at once. */
final class RecordingRouter implements Router {
    final AtomicInteger mSubmitted = new AtomicInteger();
    private final String[] mTokens;
    private final Outcome mOutcome;

    RecordingRouter(Outcome outcome, String... tokens) {
        mOutcome = outcome;
        mTokens = tokens;
    }

    @Override
    public RequestHandle submit(ModelRequest request, AnswerSink sink) {
        mSubmitted.incrementAndGet();
        for (int i = 0; i < mTokens.length; i++) {
            sink.onToken(i, mTokens[i]);
        }
        sink.onOutcome(mOutcome);
        return new NoHandle();
    }

    @Override
    public RequestHandle submit(ServiceRequest request, ServiceSink sink) {
        mSubmitted.incrementAndGet();
        if (mOutcome instanceof Outcome.Answered) {
            sink.onAnswered(
                    new ServiceReply.Answered(201, java.util.Map.of(), request.call().body()),
                    false);
        } else {
            sink.onFailed(mOutcome);
        }
        return new NoHandle();
    }

    @Override
    public int requestsInProgress() {
        return 0;
    }

    private static final class NoHandle implements RequestHandle {
        @Override
        public void pause() {}

        @Override
        public void resume() {}

        @Override
        public void cancel() {}
    }
}
