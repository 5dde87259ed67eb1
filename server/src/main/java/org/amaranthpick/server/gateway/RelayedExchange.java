package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.StatusCodes;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.http.OpenedConnection;
import org.amaranthpick.server.http.OutgoingCall;
import org.amaranthpick.server.http.OutgoingRequest;
import org.amaranthpick.server.http.ResponseListener;

/**
 * One request that is relayed for another daemon: passed to the upstream as it came, its response
 * passed back as it comes, complete or visibly broken off. It ends when the other daemon closes its
 * connection.
 */
final class RelayedExchange implements ResponseListener {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Longest time for a request that names no deadline. */
    private static final Duration DEFAULT_TIME_LIMIT = Duration.ofSeconds(60);

    /** Time beyond the request's deadline after which the upstream is not waited for. */
    private static final Duration DEADLINE_MARGIN = Duration.ofSeconds(1);

    private final HttpServerExchange mExchange;
    private final UpstreamEntry mUpstream;
    private final RelayContext mContext;
    private final Consumer<RelayedExchange> mOnEnded;
    private final CallerResponseWriter mWriter;
    private DisconnectDetector mDisconnectDetector;
    private OutgoingCall mCall;
    private Optional<Runnable> mWithoutBody = Optional.empty();
    private boolean mHeadSent;
    private boolean mEnded;

    RelayedExchange(
            HttpServerExchange exchange,
            UpstreamEntry upstream,
            RelayContext context,
            Consumer<RelayedExchange> onEnded) {
        mExchange = exchange;
        mUpstream = upstream;
        mContext = context;
        mOnEnded = onEnded;
        mWriter =
                new CallerResponseWriter(
                        exchange, context.dialect(), this::onDisconnected, () -> mCall.resume());
    }

    void start(HttpConnector connector, OpenedConnection connection, byte[] body) {
        mDisconnectDetector = DisconnectDetector.start(mExchange, this::onDisconnected);
        mContext.admission().onSent(mUpstream, mContext.scheduler().monotonicNs());
        Duration timeLimit =
                mContext.dialect()
                        .readCallerRequest(mExchange.getRequestHeaders())
                        .deadline()
                        .map(deadline -> deadline.plus(DEADLINE_MARGIN))
                        .orElse(DEFAULT_TIME_LIMIT);
        OutgoingRequest request =
                new OutgoingRequest(
                        URI.create("http://" + mUpstream.address()),
                        mExchange.getRequestMethod().toString(),
                        GatewayHandler.requestTargetOf(mExchange),
                        headers(),
                        body,
                        timeLimit,
                        Optional.empty());
        mCall = connector.prepare(connection, request, this);
        mCall.start();
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new HashMap<>();
        for (HeaderValues values : mExchange.getRequestHeaders()) {
            if (!values.getHeaderName().equals(UpstreamConnector.PATH_HEADER)
                    && mContext.dialect().isForwardedToCaller(values.getHeaderName())) {
                headers.put(values.getHeaderName().toString(), String.join(", ", values));
            }
        }
        return headers;
    }

    @Override
    public void onResponse(int status, HeaderMap headers) {
        if (mEnded) {
            return;
        }
        long nowNs = mContext.scheduler().monotonicNs();
        mContext.paths().onAnswered(mUpstream.id(), nowNs);
        mContext.admission()
                .onAnswer(mUpstream, mContext.dialect().readNotice(status, headers), nowNs);
        headers.put(UpstreamConnector.RESULT_HEADER, UpstreamConnector.RESULT_UPSTREAM);
        if (status == StatusCodes.NO_CONTENT || status == StatusCodes.NOT_MODIFIED) {
            mWithoutBody = Optional.of(() -> sendWithoutBody(status, headers));
        } else {
            mHeadSent = true;
            mWriter.startStream(status, headers);
        }
    }

    private void sendWithoutBody(int status, HeaderMap headers) {
        mWriter.setHead(status, headers);
        mWriter.sendComplete(new byte[0]);
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (mEnded) {
            return;
        }
        byte[] chunk = new byte[bytes.remaining()];
        bytes.get(chunk);
        if (!mWriter.sendChunk(chunk)) {
            mCall.pause();
        }
    }

    @Override
    public void onEnd(CallEnd callEnd) {
        if (mEnded) {
            return;
        }
        end(callEnd.toString());
        if (callEnd instanceof CallEnd.Complete) {
            mWithoutBody.orElse(mWriter::finish).run();
        } else {
            endWithoutResponse(callEnd instanceof CallEnd.NotSent);
        }
    }

    /** Ends the request because this daemon stops. It may be sent before the call is cancelled. */
    void interrupt() {
        if (!mEnded) {
            end("the host stops");
            mCall.cancel();
            endWithoutResponse(false);
        }
    }

    private void endWithoutResponse(boolean unsent) {
        if (mHeadSent) {
            mWriter.abort();
        } else {
            mExchange.setStatusCode(
                    unsent ? StatusCodes.SERVICE_UNAVAILABLE : StatusCodes.BAD_GATEWAY);
            mExchange
                    .getResponseHeaders()
                    .put(
                            UpstreamConnector.RESULT_HEADER,
                            unsent
                                    ? UpstreamConnector.RESULT_NOT_SENT
                                    : UpstreamConnector.RESULT_LOST);
            mExchange.endExchange();
        }
    }

    private void onDisconnected() {
        if (!mEnded) {
            end("the other daemon closed its connection");
            mCall.cancel();
            mWriter.abort();
        }
    }

    private void end(String detail) {
        mEnded = true;
        mDisconnectDetector.stop();
        sLogger.atInfo().log(
                "relay: upstream=%s peer=%s detail=\"%s\"",
                mUpstream.id(), mExchange.getSourceAddress(), detail);
        mOnEnded.accept(this);
    }
}
