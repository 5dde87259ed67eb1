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
import java.util.concurrent.Executor;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the response to a caller, either complete or chunk by chunk. If a response cannot be
 * finished, its connection is closed so that the caller cannot mistake it for a complete one.
 */
final class CallerResponseWriter {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Chunks queued for a slow caller before reading from the upstream is paused. */
    private static final int MAX_PENDING_CHUNKS = 64;

    /** Bytes of these chunks; one event may be longer. */
    private static final int MAX_PENDING_BYTES = 64 * 1024;

    private final HttpServerExchange mExchange;
    private final GatewayDialect mDialect;
    private final Executor mSteps;
    private final Runnable mOnDisconnect;
    private final Runnable mOnWritable;
    private final Deque<ByteBuffer> mPending = new ArrayDeque<>();
    private StreamSinkChannel mSink;
    private long mPendingBytes;
    private boolean mFinished;
    private boolean mClosed;
    private boolean mBackpressured;

    /**
     * Creates a response writer.
     *
     * @param exchange exchange with the caller
     * @param dialect decides which headers are forwarded
     * @param steps runs later writes as steps of the exchange
     * @param onDisconnect runs when writing fails because the caller's connection broke
     * @param onWritable runs when the queued chunks were written after the queue had been full
     */
    CallerResponseWriter(
            HttpServerExchange exchange,
            GatewayDialect dialect,
            Executor steps,
            Runnable onDisconnect,
            Runnable onWritable) {
        mExchange = exchange;
        mDialect = dialect;
        mSteps = steps;
        mOnDisconnect = onDisconnect;
        mOnWritable = onWritable;
    }

    /** Sends the body of a response whose head has been set. */
    void sendComplete(byte[] body) {
        mExchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
        openChannel();
        sendChunk(body);
        finish();
    }

    /** Sends the status and headers of a response whose body follows in chunks. */
    void startStream(int status, HeaderMap headers) {
        setHead(status, headers);
        if (!mExchange.isHttp10()) {
            // Without chunked encoding a closed connection would look like the end of the response.
            mExchange
                    .getResponseHeaders()
                    .put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
        openChannel();
    }

    /** Queues a chunk; returns false if the queue is full because the caller reads too slowly. */
    boolean sendChunk(byte[] bytes) {
        if (mClosed) {
            return true;
        }
        if (bytes.length > 0) {
            mPending.addLast(ByteBuffer.wrap(bytes));
            mPendingBytes += bytes.length;
            writePending();
        }
        mBackpressured =
                mPending.size() >= MAX_PENDING_CHUNKS || mPendingBytes >= MAX_PENDING_BYTES;
        return !mBackpressured;
    }

    /** Marks the response as complete. */
    void finish() {
        mFinished = true;
        writePending();
    }

    /** Closes the connection without completing the response. */
    void abort() {
        if (!mClosed) {
            mClosed = true;
            mPending.clear();
            IoUtils.safeClose(mExchange.getConnection());
        }
    }

    /** Sets the status and headers of a complete response. */
    void setHead(int status, HeaderMap headers) {
        mExchange.setStatusCode(status);
        HeaderMap response = mExchange.getResponseHeaders();
        for (HeaderValues values : headers) {
            if (mDialect.isForwardedToCaller(values.getHeaderName())) {
                values.forEach(value -> response.add(values.getHeaderName(), value));
            }
        }
    }

    private void openChannel() {
        mSink = mExchange.getResponseChannel();
        mSink.getWriteSetter().set(channel -> mSteps.execute(this::writePending));
    }

    private void writePending() {
        if (mClosed) {
            return;
        }
        try {
            while (!mPending.isEmpty()) {
                ByteBuffer next = mPending.peekFirst();
                int written = mSink.write(next);
                if (written == 0) {
                    mSink.resumeWrites();
                    return;
                }
                mPendingBytes -= written;
                if (!next.hasRemaining()) {
                    mPending.removeFirst();
                }
            }
            if (mFinished) {
                mSink.shutdownWrites();
            }
            if (!mSink.flush()) {
                mSink.resumeWrites();
                return;
            }
            mSink.suspendWrites();
            if (mFinished) {
                mClosed = true;
                mExchange.endExchange();
            } else if (mBackpressured) {
                mBackpressured = false;
                mOnWritable.run();
            }
        } catch (IOException e) {
            sLogger.atFine().withCause(e).log(
                    "caller: cannot write the response; closing the connection");
            abort();
            mOnDisconnect.run();
        }
    }
}
