package org.amaranthpick.server.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.util.function.IntConsumer;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/** Counts the bytes that are read from a connection. */
final class HeadCountingConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final StreamConnection mConnection;
    private final IntConsumer mOnRead;

    HeadCountingConduit(StreamConnection connection, IntConsumer onRead) {
        super(connection.getSourceChannel().getConduit());
        mConnection = connection;
        mOnRead = onRead;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        int count = super.read(buffer);
        onRead(count);
        return count;
    }

    @Override
    public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
        long count = super.read(buffers, offset, length);
        onRead((int) count);
        return count;
    }

    private void onRead(int count) throws ClosedChannelException {
        if (count > 0) {
            mOnRead.accept(count);
            if (!mConnection.isOpen()) {
                throw new ClosedChannelException();
            }
        }
    }
}
