package org.amaranthpick.server.upstream;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.TokenFrame;
import org.amaranthpick.core.upstream.TokenListener;
import org.amaranthpick.core.upstream.UpstreamStream;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.http.LineReader;
import org.amaranthpick.server.http.OutgoingCall;
import org.amaranthpick.server.http.OutgoingRequest;
import org.amaranthpick.server.http.ResponseListener;

/** Reads the stream of one attempt and tells its listener. */
final class TokenStream implements ResponseListener, UpstreamStream {
    private static final int STATUS_OK = 200;

    private final GenerateCall mCall;
    private final TokenListener mListener;
    private final Runnable mCancelStages;
    private final LineReader mLines;
    private volatile OutgoingCall mOutgoing;
    private volatile boolean mSending;
    private int mStatus;
    private boolean mTokenSeen;
    private boolean mFinished;
    private boolean mEnded;

    TokenStream(
            GenerateCall call, int maxLineBytes, TokenListener listener, Runnable cancelStages) {
        mCall = call;
        mListener = listener;
        mCancelStages = cancelStages;
        mLines = new LineReader(maxLineBytes, this::onLine);
    }

    void start(HttpConnector connector, OutgoingRequest request) {
        mOutgoing = connector.prepare(request, this);
        mOutgoing.start();
    }

    @Override
    public void pause() {
        mOutgoing.pause();
    }

    @Override
    public void resume() {
        mOutgoing.resume();
    }

    @Override
    public void cancel() {
        mOutgoing.cancel();
        if (mSending) {
            mCancelStages.run();
        }
    }

    @Override
    public void onSending() {
        mSending = true;
        mListener.onSending();
    }

    @Override
    public void onResponse(int status, HeaderMap headers) {
        mStatus = status;
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (mEnded) {
            return;
        }
        try {
            mLines.feed(bytes);
        } catch (IOException e) {
            lose(firstStage(), "malformed stream: " + e.getMessage());
            mOutgoing.cancel();
        }
    }

    /** Other responses carry no request id, by which a repeated one could be told apart. */
    @Override
    public boolean keepsConnection() {
        return mFinished;
    }

    @Override
    public void onEnd(CallEnd end) {
        if (end instanceof CallEnd.NotSent unsent) {
            tell(new StreamEnd.NotSent(firstStage(), unsent.reason()));
        } else if (end instanceof CallEnd.Lost lost) {
            lose(firstStage(), lost.reason());
        } else {
            finish();
        }
    }

    private void finish() {
        try {
            mLines.finish();
            lose(firstStage(), "the stream stopped with status " + mStatus + " and no end line");
        } catch (IOException e) {
            lose(firstStage(), "malformed stream: " + e.getMessage());
        }
    }

    private void onLine(byte[] bytes, int offset, int length) throws IOException {
        StreamLine line = StreamLine.parse(bytes, offset, length);
        if (mEnded) {
            return;
        }
        switch (line.mType) {
            case StreamLine.TOKEN -> onToken(line);
            case StreamLine.FINISHED -> onFinished(line);
            case StreamLine.REFUSED -> onRefused(line);
            case StreamLine.STAGE_LOST -> lose(stage(line), line.mReason);
            default -> ignore();
        }
    }

    private void onToken(StreamLine line) throws IOException {
        if (mStatus != STATUS_OK) {
            throw new IOException("a token came with status " + mStatus);
        }
        mTokenSeen = true;
        mListener.onToken(
                new TokenFrame(
                        line.mRequestId, line.mAttempt, line.mIndex, line.mText, line.mTrace));
    }

    private void onFinished(StreamLine line) throws IOException {
        if (mStatus != STATUS_OK || line.mTokens < 0) {
            throw new IOException("an end line is malformed");
        }
        mFinished = mTokenSeen;
        tell(new StreamEnd.Finished(line.mReason, line.mTokens));
    }

    /** A refusal after a token is no refusal: something ran. */
    private void onRefused(StreamLine line) {
        if (mTokenSeen) {
            lose(stage(line), "refused after a token: " + line.mReason);
            return;
        }
        Optional<Duration> retryAfter =
                line.mRetryAfterMs < 0
                        ? Optional.empty()
                        : Optional.of(Duration.ofMillis(line.mRetryAfterMs));
        tell(new StreamEnd.Refused(stage(line), line.mReason, retryAfter));
    }

    /** Lines of unknown type, keep-alive lines among them, only show that the stream is alive. */
    private static void ignore() {}

    private void lose(Identity stage, String reason) {
        tell(new StreamEnd.StageLost(stage, reason));
    }

    private void tell(StreamEnd end) {
        if (!mEnded) {
            mEnded = true;
            mListener.onEnd(end);
        }
    }

    private Identity firstStage() {
        return mCall.chain().hops().get(0).upstream();
    }

    private Identity stage(StreamLine line) {
        return Keys.parse(line.mUpstream)
                .filter(upstream -> mCall.chain().uses(upstream))
                .orElse(firstStage());
    }
}
