package org.amaranthpick.server.gateway;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.gateway.Target;
import org.amaranthpick.core.gateway.UpstreamVerdict;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.OutgoingRequest;
import org.amaranthpick.server.http.ResponseListener;

/** Sends a request to an upstream once and reports the result to the exchange. */
final class ForwardAttempt implements ResponseListener {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int MAX_BODY_BYTES = 8 << 20;

    private final ForwardedExchange mExchange;
    private final ForwardedRequest mRequest;
    private final GatewayContext mContext;
    private final Target mTarget;
    private final UpstreamCall mCall;
    private final AnswerBuffer mBody;
    private Optional<UpstreamVerdict> mVerdict = Optional.empty();
    private HeaderMap mHeaders = new HeaderMap();
    private int mStatus;
    private boolean mStreaming;
    private boolean mSent;
    private boolean mEnded;

    ForwardAttempt(
            ForwardedExchange exchange,
            OpenExchange open,
            ForwardedRequest request,
            GatewayContext context,
            Target target,
            AnswerBuffer body,
            Map<String, String> headers,
            Duration timeout) {
        mExchange = exchange;
        mRequest = request;
        mContext = context;
        mTarget = target;
        mBody = body;
        mCall =
                context.upstreams()
                        .prepare(
                                target.upstream(),
                                new OutgoingRequest(
                                        URI.create("http://" + target.upstream().address()),
                                        request.method(),
                                        request.requestTarget(),
                                        headers,
                                        request.body(),
                                        timeout,
                                        Optional.empty()),
                                new GuardedListener(this, open));
    }

    void start() {
        mContext.targetPolicy().onSent(mTarget);
        recordRoomTaken();
        mContext.admission().onSent(mTarget.upstream(), mContext.scheduler().monotonicNs());
        mCall.start();
    }

    private void recordRoomTaken() {
        mRequest.service()
                .model()
                .ifPresent(
                        model ->
                                mTarget.chain()
                                        .ifPresent(
                                                chain ->
                                                        mContext.room()
                                                                .onSent(
                                                                        chain,
                                                                        model.usualPromptTokens()
                                                                                + model
                                                                                        .usualAnswerTokens(),
                                                                        mContext.scheduler()
                                                                                .monotonicNs())));
    }

    Target target() {
        return mTarget;
    }

    /** Returns whether an engine is part of the chain that the attempt is sent to. */
    boolean passesThrough(String engineId) {
        return mTarget.chain().filter(chain -> chain.contains(engineId)).isPresent();
    }

    /** Returns whether a byte of the request may have left this host. */
    boolean sent() {
        return mSent;
    }

    /** Returns the daemon that the attempt goes through, empty on the direct path. */
    Optional<String> relay() {
        return mCall.relay();
    }

    void pause() {
        mCall.pause();
    }

    void resume() {
        mCall.resume();
    }

    /** Cancels the attempt and closes its connection, so that the upstream stops processing it. */
    void cancel() {
        if (!mEnded) {
            end();
            mBody.clear();
            mCall.cancel();
        }
    }

    @Override
    public void onSending() {
        mSent = true;
    }

    @Override
    public void onResponse(int status, HeaderMap headers) {
        if (mEnded) {
            return;
        }
        mStatus = status;
        mHeaders = headers;
        UpstreamVerdict verdict =
                mContext.dialect()
                        .classifyResponse(status, headers, mRequest.metadata().requestId());
        mVerdict = Optional.of(verdict);
        if (verdict instanceof UpstreamVerdict.Foreign foreign) {
            end();
            mCall.cancel();
            mExchange.onResponseLost(this, foreign.reason());
            return;
        }
        mContext.admission()
                .onAnswer(
                        mTarget.upstream(),
                        mContext.dialect().readNotice(status, headers),
                        mContext.scheduler().monotonicNs());
        String type = headers.getFirst(Headers.CONTENT_TYPE);
        mStreaming =
                verdict instanceof UpstreamVerdict.Success
                        && mRequest.isStream()
                        && type != null
                        && type.startsWith(EVENT_STREAM);
        if (mStreaming) {
            mExchange.onStreamHead(this, status, headers);
        }
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (mEnded) {
            return;
        }
        if (mStreaming) {
            mExchange.onStreamBytes(this, bytes);
        } else if (mBody.size() + bytes.remaining() <= MAX_BODY_BYTES) {
            if (!mBody.add(bytes)) {
                mExchange.giveUp("no memory for the answer");
            }
        } else {
            end();
            mBody.clear();
            mCall.cancel();
            mExchange.onResponseLost(
                    this, "the response body exceeds " + MAX_BODY_BYTES + " bytes");
        }
    }

    @Override
    public void onEnd(CallEnd callEnd) {
        if (mEnded) {
            return;
        }
        end();
        if (callEnd instanceof CallEnd.NotSent unsent) {
            mSent = false;
            mExchange.onNotSent(this, unsent);
        } else if (mVerdict.isPresent()
                && mVerdict.get() instanceof UpstreamVerdict.NotRun notRun) {
            mExchange.onNotRun(this, mStatus, notRun);
        } else if (callEnd instanceof CallEnd.Lost lost) {
            mExchange.onResponseLost(this, lost.reason());
        } else if (mStreaming) {
            mExchange.onStreamEnd(this);
        } else {
            boolean success =
                    mVerdict.filter(UpstreamVerdict.Success.class::isInstance).isPresent();
            mExchange.onResponse(this, success, mStatus, mHeaders, mBody.take());
        }
    }

    private void end() {
        mEnded = true;
        mContext.targetPolicy().onEnded(mTarget);
    }
}
