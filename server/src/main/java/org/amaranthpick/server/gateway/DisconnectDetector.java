package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.server.http.ConnectionWatch;
import org.xnio.ChannelListener;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a caller closes its connection while its request is in progress. The HTTP listener
 * does not read during that time, so this class reads from the connection instead. If it reads
 * bytes of a pipelined request, it returns them to the connection and stops.
 */
final class DisconnectDetector implements ChannelListener<ConduitStreamSourceChannel> {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final HttpServerConnection mConnection;
    private final ConduitStreamSourceChannel mChannel;
    private final Runnable mOnDisconnect;
    private Cancellable mCloseWatch = () -> {};
    private boolean mStopped;

    private DisconnectDetector(HttpServerConnection connection, Runnable onDisconnect) {
        mConnection = connection;
        mChannel = connection.getChannel().getSourceChannel();
        mOnDisconnect = onDisconnect;
    }

    /** Starts detection for an exchange whose request body has been read completely. */
    static DisconnectDetector start(HttpServerExchange exchange, Runnable onDisconnect) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        DisconnectDetector detector = new DisconnectDetector(connection, onDisconnect);
        detector.mCloseWatch = ConnectionWatch.start(connection, detector::onDisconnect);
        if (connection.getExtraBytes() == null) {
            // The body has been read, so the conduit that decoded its framing is no longer needed.
            detector.mChannel.setConduit(connection.getOriginalSourceConduit());
            detector.mChannel.setReadListener(detector);
            detector.mChannel.resumeReads();
        }
        return detector;
    }

    /** Stops detection, so that the HTTP listener can read the next request. */
    void stop() {
        if (!mStopped) {
            mStopped = true;
            mCloseWatch.cancel();
            mChannel.suspendReads();
        }
    }

    @Override
    public void handleEvent(ConduitStreamSourceChannel channel) {
        if (mStopped) {
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
                onDisconnect();
            }
        } catch (IOException e) {
            buffer.close();
            sLogger.atFine().withCause(e).log("caller: reading from the connection failed");
            onDisconnect();
        }
    }

    private void onDisconnect() {
        if (!mStopped) {
            stop();
            mOnDisconnect.run();
        }
    }
}
