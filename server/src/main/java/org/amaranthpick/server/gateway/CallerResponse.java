package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the answer to a caller, whole or piece by piece. An answer that cannot be finished is cut
 * off with its connection, so that it never looks complete.
 */
final class CallerResponse {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Pieces that wait for a slow caller before reading from the upstream pauses. */
    private static final int MOST_WAITING = 64;

    private final HttpServerExchange mExchange;
    private final GatewayDialect mDialect;
    private final Runnable mOnGone;
    private final Runnable mOnDrained;
    private final Deque<ByteBuffer> mWaiting = new ArrayDeque<>();
    private StreamSinkChannel mSink;
    private boolean mLast;
    private boolean mEnded;
    private boolean mFull;

    /**
     * Creates a response.
     *
     * @param exchange exchange of the caller
     * @param dialect judges which headers pass
     * @param onGone told when the caller's connection broke
     * @param onDrained told when pieces that filled the buffer were written
     */
    CallerResponse(
            HttpServerExchange exchange,
            GatewayDialect dialect,
            Runnable onGone,
            Runnable onDrained) {
        mExchange = exchange;
        mDialect = dialect;
        mOnGone = onGone;
        mOnDrained = onDrained;
    }

    /** Sends a whole answer. */
    void whole(int status, HeaderMap headers, byte[] body) {
        head(status, headers);
        mExchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
        start();
        piece(body);
        finish();
    }

    /** Sends the head of an answer whose pieces follow. */
    void begin(int status, HeaderMap headers) {
        head(status, headers);
        if (!mExchange.isHttp10()) {
            // Otherwise the end of a connection that closes would pass for the end of the answer.
            mExchange
                    .getResponseHeaders()
                    .put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
        start();
    }

    /** Sends one piece; returns false if the caller reads too slowly to take more now. */
    boolean piece(byte[] bytes) {
        if (mEnded) {
            return true;
        }
        if (bytes.length > 0) {
            mWaiting.addLast(ByteBuffer.wrap(bytes));
            write();
        }
        mFull = mWaiting.size() >= MOST_WAITING;
        return !mFull;
    }

    /** Ends the answer as complete. */
    void finish() {
        mLast = true;
        write();
    }

    /** Cuts the answer off. */
    void abort() {
        if (!mEnded) {
            mEnded = true;
            mWaiting.clear();
            IoUtils.safeClose(mExchange.getConnection());
        }
    }

    private void head(int status, HeaderMap headers) {
        mExchange.setStatusCode(status);
        HeaderMap response = mExchange.getResponseHeaders();
        for (HeaderValues values : headers) {
            if (mDialect.passedToCaller(values.getHeaderName())) {
                values.forEach(value -> response.add(values.getHeaderName(), value));
            }
        }
    }

    private void start() {
        mSink = mExchange.getResponseChannel();
        mSink.getWriteSetter().set(channel -> write());
    }

    private void write() {
        if (mEnded) {
            return;
        }
        try {
            while (!mWaiting.isEmpty()) {
                ByteBuffer next = mWaiting.peekFirst();
                if (mSink.write(next) == 0) {
                    mSink.resumeWrites();
                    return;
                }
                if (!next.hasRemaining()) {
                    mWaiting.removeFirst();
                }
            }
            if (mLast) {
                mSink.shutdownWrites();
            }
            if (!mSink.flush()) {
                mSink.resumeWrites();
                return;
            }
            mSink.suspendWrites();
            if (mLast) {
                mEnded = true;
                mExchange.endExchange();
            } else if (mFull) {
                mFull = false;
                mOnDrained.run();
            }
        } catch (IOException e) {
            sLogger.atFine().withCause(e).log("caller: answer could not be written");
            abort();
            mOnGone.run();
        }
    }
}
