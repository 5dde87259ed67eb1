package org.amaranthpick.server.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import org.amaranthpick.core.request.Outcome;
import org.amaranthpick.core.request.ServiceSink;
import org.amaranthpick.core.upstream.ServiceReply;

/** Sends the answer of a plain service, or why there is none. */
final class ServiceAnswer implements ServiceSink {
    private final HttpServerExchange mExchange;
    private final String mRequestId;

    ServiceAnswer(HttpServerExchange exchange, String requestId) {
        mExchange = exchange;
        mRequestId = requestId;
    }

    @Override
    public void onAnswered(ServiceReply.Answered reply, boolean replayed) {
        mExchange.getIoThread().execute(() -> send(reply, replayed));
    }

    @Override
    public void onFailed(Outcome outcome) {
        mExchange.getIoThread().execute(() -> sendFailure(outcome));
    }

    private void send(ServiceReply.Answered reply, boolean replayed) {
        if (mExchange.isResponseStarted()) {
            return;
        }
        mExchange.setStatusCode(reply.status());
        reply.headers().forEach((k, v) -> mExchange.getResponseHeaders().put(new HttpString(k), v));
        String type = mExchange.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
        ResponseWriter.head(
                mExchange,
                mRequestId,
                OutcomeLabel.ANSWERED,
                type == null ? "application/octet-stream" : type);
        if (replayed) {
            mExchange.getResponseHeaders().put(CallerHeaders.REPLAYED, "true");
        }
        mExchange.getResponseSender().send(ByteBuffer.wrap(reply.body()));
    }

    private void sendFailure(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun notRun) {
            ResponseWriter.notRun(mExchange, mRequestId, notRun);
        } else {
            ResponseWriter.interrupted(mExchange, mRequestId, (Outcome.Interrupted) outcome);
        }
    }
}
