package org.amaranthpick.server.http;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

/** Reads an open-ended response line by line until it ends or is closed. */
public final class LineStream implements ResponseListener, AutoCloseable {
    private static final int STATUS_OK = 200;

    private final LineReader.LineTaker mTaker;
    private final Consumer<String> mOnEnded;
    private final LineReader mLines;
    private volatile OutgoingCall mOutgoing;
    private volatile boolean mClosed;
    private Function<HeaderMap, Optional<String>> mHeaderCheck = headers -> Optional.empty();
    private String mFault = "";

    /**
     * Creates a stream; {@link #start} opens it.
     *
     * @param maxLineBytes longest line; a longer one ends the stream
     * @param taker takes the lines; a malformed one ends the stream
     * @param onEnded told why the stream ended, unless it was closed here
     */
    public LineStream(int maxLineBytes, LineReader.LineTaker taker, Consumer<String> onEnded) {
        mTaker = taker;
        mOnEnded = onEnded;
        mLines = new LineReader(maxLineBytes, this::onLine);
    }

    /**
     * Sends the request.
     *
     * @param connector makes the call
     * @param request the request
     */
    public void start(HttpConnector connector, OutgoingRequest request) {
        mOutgoing = connector.prepare(request, this);
        mOutgoing.start();
    }

    @Override
    public void close() {
        mClosed = true;
        mOutgoing.cancel();
    }

    /**
     * Sets a check of the response headers, before the first line.
     *
     * @param check returns why the stream ends, empty if it goes on
     */
    public void setHeaderCheck(Function<HeaderMap, Optional<String>> check) {
        mHeaderCheck = check;
    }

    @Override
    public void onResponse(int status, HeaderMap headers) {
        if (status == STATUS_OK) {
            mHeaderCheck.apply(headers).ifPresent(this::fail);
        } else {
            fail("answered with status " + status);
        }
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        try {
            mLines.feed(bytes);
        } catch (IOException e) {
            fail("malformed stream: " + e.getMessage());
        }
    }

    @Override
    public void onEnd(CallEnd end) {
        if (!mClosed) {
            mOnEnded.accept(mFault.isEmpty() ? reason(end) : mFault);
        }
    }

    private static String reason(CallEnd end) {
        if (end instanceof CallEnd.NotSent unsent) {
            return unsent.reason();
        }
        return end instanceof CallEnd.Lost lost ? lost.reason() : "the stream ended";
    }

    private void onLine(byte[] bytes, int offset, int length) throws IOException {
        if (!mClosed && mFault.isEmpty()) {
            mTaker.onLine(bytes, offset, length);
        }
    }

    private void fail(String reason) {
        mFault = reason;
        mOutgoing.cancel();
    }
}
