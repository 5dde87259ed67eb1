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
import org.xnio.IoUtils;

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
    private Runnable mStopDetector = () -> {};
    private Optional<OutgoingCall> mCall = Optional.empty();
    private Optional<Runnable> mWithoutBody = Optional.empty();
    private String mRequestId = "";
    private boolean mSending;
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
                        exchange,
                        context.dialect(),
                        this::run,
                        () -> run(this::onDisconnected),
                        () -> mCall.ifPresent(OutgoingCall::resume));
    }

    void start(HttpConnector connector, OpenedConnection connection, byte[] body) {
        run(() -> send(connector, connection, body));
        if (mEnded && !mSending) {
            connection.close();
        }
    }

    private void send(HttpConnector connector, OpenedConnection connection, byte[] body) {
        mStopDetector = DisconnectDetector.start(mExchange, () -> run(this::onDisconnected))::stop;
        mContext.admission().onSent(mUpstream, mContext.scheduler().monotonicNs());
        CallerRequestMetadata metadata =
                mContext.dialect().readCallerRequest(mExchange.getRequestHeaders());
        mRequestId = metadata.requestId();
        Duration timeLimit =
                metadata.deadline()
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
        OutgoingCall call = connector.prepare(connection, request, this);
        mCall = Optional.of(call);
        call.start();
    }

    /** Runs a step; if it fails, the other daemon learns whether the request may have run. */
    private void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            mContext.scheduler().onTaskFailed("relayed request", e);
            fail("failed, " + e);
        }
    }

    private void fail(String reason) {
        try {
            if (!mEnded) {
                end(reason);
                mCall.ifPresent(OutgoingCall::cancel);
                endWithoutResponse(!mSending);
                return;
            }
        } catch (RuntimeException | Error e) {
            mContext.scheduler().onTaskFailed("relayed request", e);
        }
        // What is left of the response can't be trusted to be whole.
        IoUtils.safeClose(mExchange.getConnection());
    }

    @Override
    public void onSending() {
        mSending = true;
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
        run(() -> onHead(status, headers));
    }

    private void onHead(int status, HeaderMap headers) {
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
        run(() -> pass(bytes));
    }

    private void pass(ByteBuffer bytes) {
        if (mEnded) {
            return;
        }
        byte[] chunk = new byte[bytes.remaining()];
        bytes.get(chunk);
        if (!mWriter.sendChunk(chunk)) {
            mCall.ifPresent(OutgoingCall::pause);
        }
    }

    @Override
    public void onEnd(CallEnd callEnd) {
        run(() -> onCallEnd(callEnd));
    }

    private void onCallEnd(CallEnd callEnd) {
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
        run(this::giveUp);
    }

    private void giveUp() {
        if (!mEnded) {
            end("the host stops");
            mCall.ifPresent(OutgoingCall::cancel);
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
            mCall.ifPresent(OutgoingCall::cancel);
            mWriter.abort();
        }
    }

    private void end(String detail) {
        mEnded = true;
        mStopDetector.run();
        sLogger.atInfo().log(
                "relay: upstream=%s request=%s peer=%s detail=\"%s\"",
                mUpstream.id(), mRequestId, mExchange.getSourceAddress(), detail);
        mOnEnded.accept(this);
    }
}
