package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.ChannelListener;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Notices that a caller closes its connection while its request is in progress. The listener does
 * not read then; this reads in its place and gives the bytes of a next request back.
 */
final class CallerWatch implements ChannelListener<ConduitStreamSourceChannel> {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final HttpServerConnection mConnection;
    private final ConduitStreamSourceChannel mChannel;
    private final Runnable mOnGone;
    private boolean mEnded;

    private CallerWatch(HttpServerConnection connection, Runnable onGone) {
        mConnection = connection;
        mChannel = connection.getChannel().getSourceChannel();
        mOnGone = onGone;
    }

    /** Starts to watch the caller of an exchange whose request was read whole. */
    static CallerWatch start(HttpServerExchange exchange, Runnable onGone) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        CallerWatch watch = new CallerWatch(connection, onGone);
        connection.addCloseListener(closed -> watch.gone());
        if (connection.getExtraBytes() == null) {
            // The body was read whole, so that the conduit which framed it is of no more use.
            watch.mChannel.setConduit(connection.getOriginalSourceConduit());
            watch.mChannel.setReadListener(watch);
            watch.mChannel.resumeReads();
        }
        return watch;
    }

    /** Stops before the exchange ends, so that the listener may read the next request. */
    void stop() {
        if (!mEnded) {
            mEnded = true;
            mChannel.suspendReads();
        }
    }

    @Override
    public void handleEvent(ConduitStreamSourceChannel channel) {
        if (mEnded) {
            return;
        }
        PooledByteBuffer buffer = mConnection.getByteBufferPool().allocate();
        try {
            int count = channel.read(buffer.getBuffer());
            if (count > 0) {
                buffer.getBuffer().flip();
                mConnection.ungetRequestBytes(buffer);
                stop();
                return;
            }
            buffer.close();
            if (count < 0) {
                gone();
            }
        } catch (IOException e) {
            buffer.close();
            sLogger.atFine().withCause(e).log("caller: connection broke");
            gone();
        }
    }

    private void gone() {
        if (!mEnded) {
            stop();
            mOnGone.run();
        }
    }
}
