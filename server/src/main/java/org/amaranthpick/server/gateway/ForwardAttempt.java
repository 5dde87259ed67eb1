package org.amaranthpick.server.gateway;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.gateway.Target;
import org.amaranthpick.core.gateway.UpstreamVerdict;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.OutgoingCall;
import org.amaranthpick.server.http.OutgoingRequest;
import org.amaranthpick.server.http.ResponseListener;

/** One send of a request to one upstream. Tells its exchange what comes of it. */
final class ForwardAttempt implements ResponseListener {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int MOST_BODY_BYTES = 8 << 20;

    private final ForwardedExchange mOwner;
    private final ForwardedRequest mRequest;
    private final GatewayParts mParts;
    private final Target mTarget;
    private final OutgoingCall mCall;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private Optional<UpstreamVerdict> mVerdict = Optional.empty();
    private HeaderMap mHeaders = new HeaderMap();
    private int mStatus;
    private boolean mStreaming;
    private boolean mSent;
    private boolean mEnded;

    ForwardAttempt(
            ForwardedExchange owner,
            ForwardedRequest request,
            GatewayParts parts,
            Target target,
            Map<String, String> headers,
            Duration left) {
        mOwner = owner;
        mRequest = request;
        mParts = parts;
        mTarget = target;
        mCall =
                parts.connector()
                        .prepare(
                                new OutgoingRequest(
                                        URI.create("http://" + target.upstream().address()),
                                        request.method(),
                                        request.target(),
                                        headers,
                                        request.body(),
                                        left,
                                        Optional.empty()),
                                this);
    }

    void start() {
        mParts.chooser().onSent(mTarget);
        mCall.start();
    }

    Target target() {
        return mTarget;
    }

    /** Whether a byte of the request may have left this host. */
    boolean sent() {
        return mSent;
    }

    void pause() {
        mCall.pause();
    }

    void resume() {
        mCall.resume();
    }

    /** Ends the attempt and closes its connection, so that the upstream stops its work. */
    void cancel() {
        if (!mEnded) {
            mEnded = true;
            mParts.chooser().onEnded(mTarget);
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
                mParts.dialect().verdict(status, headers, mRequest.facts().requestId());
        mVerdict = Optional.of(verdict);
        if (verdict instanceof UpstreamVerdict.Foreign) {
            end();
            mCall.cancel();
            mOwner.onLost(this, "an answer to another request came");
            return;
        }
        String type = headers.getFirst(Headers.CONTENT_TYPE);
        mStreaming =
                verdict instanceof UpstreamVerdict.Success
                        && mRequest.isStream()
                        && type != null
                        && type.startsWith(EVENT_STREAM);
        if (mStreaming) {
            mOwner.onStreamHead(status, headers);
        }
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (mEnded) {
            return;
        }
        if (mStreaming) {
            mOwner.onStreamBytes(bytes);
        } else if (mBody.size() + bytes.remaining() <= MOST_BODY_BYTES) {
            byte[] chunk = new byte[bytes.remaining()];
            bytes.get(chunk);
            mBody.writeBytes(chunk);
        } else {
            end();
            mCall.cancel();
            mOwner.onLost(this, "the answer is over " + MOST_BODY_BYTES + " bytes");
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
            mOwner.onNotSent(this, unsent.reason());
        } else if (mVerdict.isPresent()
                && mVerdict.get() instanceof UpstreamVerdict.NotRun notRun) {
            mOwner.onNotRun(this, mStatus, notRun);
        } else if (callEnd instanceof CallEnd.Lost lost) {
            mOwner.onLost(this, lost.reason());
        } else if (mStreaming) {
            mOwner.onStreamEnd();
        } else {
            boolean success =
                    mVerdict.filter(UpstreamVerdict.Success.class::isInstance).isPresent();
            mOwner.onAnswer(this, success, mStatus, mHeaders, mBody.toByteArray());
        }
    }

    private void end() {
        mEnded = true;
        mParts.chooser().onEnded(mTarget);
    }
}
