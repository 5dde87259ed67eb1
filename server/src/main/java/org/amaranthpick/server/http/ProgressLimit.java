package org.amaranthpick.server.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits the bytes that are read from a connection without progress of its call: without the end of
 * a response head, or without bytes of a body. The library reads heads, trailers and chunk
 * extensions as long as bytes come and keeps them. Confined to an I/O thread.
 */
final class ProgressLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Largest response head; more shows that the bytes are no response. */
    static final int MAX_BYTES = 256 * 1024;

    private long mLeftBytes = MAX_BYTES;

    private ProgressLimit(StreamSourceConduit next) {
        super(next);
    }

    /** Limits what is read from a channel. */
    static ProgressLimit install(ConduitStreamSourceChannel channel) {
        ProgressLimit limit = new ProgressLimit(channel.getConduit());
        channel.setConduit(limit);
        return limit;
    }

    /** Records progress: a call begins, its head is complete, or bytes of its body came. */
    void onProgress() {
        mLeftBytes = MAX_BYTES;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        checkLeft();
        int limit = target.limit();
        target.limit((int) Math.min(limit, target.position() + mLeftBytes));
        try {
            return (int) count(super.read(target));
        } finally {
            target.limit(limit);
        }
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        checkLeft();
        return count(super.read(targets, offset, length));
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        checkLeft();
        return count(super.transferTo(position, count, target));
    }

    @Override
    public long transferTo(long count, ByteBuffer through, StreamSinkChannel target)
            throws IOException {
        checkLeft();
        return count(super.transferTo(count, through, target));
    }

    private void checkLeft() throws IOException {
        if (mLeftBytes <= 0) {
            throw new IOException(MAX_BYTES + " bytes came that are no part of a response");
        }
    }

    private long count(long bytes) {
        mLeftBytes -= Math.max(0, bytes);
        return bytes;
    }
}
