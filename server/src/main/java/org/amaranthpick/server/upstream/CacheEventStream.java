package org.amaranthpick.server.upstream;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.amaranthpick.core.upstream.CacheEventListener;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.http.LineReader;
import org.amaranthpick.server.http.OutgoingCall;
import org.amaranthpick.server.http.OutgoingRequest;
import org.amaranthpick.server.http.ResponseListener;

/** Reads the cache event stream of one engine. */
final class CacheEventStream implements ResponseListener, AutoCloseable {
    private static final int STATUS_OK = 200;

    private final CacheEventListener mListener;
    private final LineReader mLines;
    private volatile OutgoingCall mOutgoing;
    private volatile boolean mClosed;
    private String mFault = "the stream ended";

    CacheEventStream(int maxLineBytes, CacheEventListener listener) {
        mListener = listener;
        mLines = new LineReader(maxLineBytes, this::onLine);
    }

    void start(HttpConnector connector, OutgoingRequest request) {
        mOutgoing = connector.prepare(request, this);
        mOutgoing.start();
    }

    @Override
    public void close() {
        mClosed = true;
        mOutgoing.cancel();
    }

    @Override
    public void onResponse(int status, HeaderMap headers) {
        if (status != STATUS_OK) {
            fail("status " + status);
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
        if (mClosed) {
            return;
        }
        if (end instanceof CallEnd.NotSent unsent) {
            mFault = unsent.reason();
        } else if (end instanceof CallEnd.Lost lost && !lost.reason().equals("cancelled")) {
            mFault = lost.reason();
        }
        mListener.onEnded(mFault);
    }

    private void onLine(byte[] bytes, int offset, int length) throws IOException {
        if (!mClosed && ReplyJson.isCacheEvent(bytes, offset, length)) {
            mListener.onEvent(ReplyJson.cacheEvent(bytes, offset, length));
        }
    }

    private void fail(String reason) {
        mFault = reason;
        mOutgoing.cancel();
    }
}
