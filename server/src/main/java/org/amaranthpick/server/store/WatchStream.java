package org.amaranthpick.server.store;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.http.LineReader;
import org.amaranthpick.server.http.OutgoingCall;
import org.amaranthpick.server.http.OutgoingRequest;
import org.amaranthpick.server.http.ResponseListener;

/** Reads one watch and tells its listener. */
final class WatchStream implements ResponseListener, Watch {
    private static final int STATUS_OK = 200;

    private final WatchListener mListener;
    private final LineReader mLines;
    private volatile OutgoingCall mOutgoing;
    private volatile boolean mClosed;
    private String mFault = "";

    WatchStream(int maxLineBytes, WatchListener listener) {
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
            fail("the store answered with status " + status);
        }
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        try {
            mLines.feed(bytes);
        } catch (IOException e) {
            fail("malformed watch: " + e.getMessage());
        }
    }

    @Override
    public void onEnd(CallEnd end) {
        if (!mClosed) {
            mListener.onEnded(mFault.isEmpty() ? reason(end) : mFault);
        }
    }

    private static String reason(CallEnd end) {
        if (end instanceof CallEnd.NotSent unsent) {
            return unsent.reason();
        }
        return end instanceof CallEnd.Lost lost ? lost.reason() : "the store ended the watch";
    }

    private void onLine(byte[] bytes, int offset, int length) throws IOException {
        if (!mClosed && mFault.isEmpty()) {
            StoreJson.tell(mListener, bytes, offset, length);
        }
    }

    private void fail(String reason) {
        mFault = reason;
        mOutgoing.cancel();
    }
}
