package org.amaranthpick.server.http;

import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.IntPredicate;

/** Collects a whole response of bounded size. */
public final class BodyCollector implements ResponseListener {
    private final int mMaxBytes;
    private final IntPredicate mKeepsConnection;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final CompletableFuture<Reply> mReply = new CompletableFuture<>();
    private int mStatus;
    private HeaderMap mHeaders = new HeaderMap();
    private boolean mTooLarge;

    /**
     * What came of a call.
     *
     * @param status HTTP status, 0 if none came
     * @param headers response headers
     * @param body body bytes
     * @param end how the call ended
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Reply(int status, HeaderMap headers, byte[] body, CallEnd end) {}

    /**
     * Creates a collector.
     *
     * @param maxBytes largest body; a larger one counts as lost
     */
    public BodyCollector(int maxBytes) {
        this(maxBytes, status -> true);
    }

    /**
     * Creates a collector.
     *
     * @param maxBytes largest body; a larger one counts as lost
     * @param keepsConnection whether the connection may carry another call after a response with a
     *     status
     */
    public BodyCollector(int maxBytes, IntPredicate keepsConnection) {
        mMaxBytes = maxBytes;
        mKeepsConnection = keepsConnection;
    }

    /**
     * Returns what comes of the call.
     *
     * @return reply; completes normally when the call ends
     */
    public CompletionStage<Reply> reply() {
        return mReply;
    }

    @Override
    public void onResponse(int status, HeaderMap headers) {
        mStatus = status;
        mHeaders = headers;
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (mBody.size() + bytes.remaining() > mMaxBytes) {
            mTooLarge = true;
            return;
        }
        byte[] chunk = new byte[bytes.remaining()];
        bytes.get(chunk);
        mBody.writeBytes(chunk);
    }

    @Override
    public boolean acceptsMore() {
        return !mTooLarge;
    }

    @Override
    public boolean keepsConnection() {
        return mKeepsConnection.test(mStatus);
    }

    @Override
    public void onEnd(CallEnd end) {
        CallEnd seen =
                mTooLarge ? new CallEnd.Lost("the response is over " + mMaxBytes + " bytes") : end;
        mReply.complete(new Reply(mStatus, mHeaders, mBody.toByteArray(), seen));
    }
}
