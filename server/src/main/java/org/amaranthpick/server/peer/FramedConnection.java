package org.amaranthpick.server.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** Reads and writes frames on one TCP connection. Lives on the connection's I/O thread. */
final class FramedConnection {
    private static final int READ_BYTES = 16 * 1024;
    private static final ThreadLocal<ByteBuffer> READ_BUFFER =
            ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(READ_BYTES));

    private final StreamConnection mConnection;
    private final PeerCounters mCounters;
    private final FrameReader mReader;
    private final Owner mOwner;
    private final Deque<ByteBuffer> mOut = new ArrayDeque<>();
    private boolean mFlushing;
    private boolean mClosed;

    /** Owner of a connection. */
    interface Owner {
        /**
         * Takes one frame.
         *
         * @param frame data of the frame
         * @throws IOException if the frame is bad; the connection is then closed
         */
        void onFrame(byte[] frame) throws IOException;

        /** Everything written has left; more may be written. */
        void onWritable();

        /**
         * The connection closed; nothing is told after it.
         *
         * @param reason what was seen
         */
        void onClosed(String reason);
    }

    FramedConnection(StreamConnection connection, PeerCounters counters, Owner owner) {
        mConnection = connection;
        mCounters = counters;
        mOwner = owner;
        mReader = new FrameReader(Handshake.MAX_FRAME_BYTES, this::takeFrame);
    }

    void start() {
        mConnection.getSourceChannel().setReadListener(this::read);
        mConnection.getSinkChannel().setWriteListener(this::flush);
        mConnection.setCloseListener(closed -> close("closed"));
        mConnection.getSourceChannel().resumeReads();
    }

    void setMaxFrameBytes(int maxBytes) {
        mReader.setMaxBytes(maxBytes);
    }

    boolean isIdle() {
        return mOut.isEmpty();
    }

    /** Writes a frame without a code, as in the handshake. */
    void writePlain(byte[] frame) {
        ByteBuffer buffer = ByteBuffer.allocate(FrameReader.LENGTH_BYTES + frame.length);
        write(buffer.putInt(frame.length).put(frame).flip());
    }

    /** Writes bytes that hold whole frames. */
    void write(ByteBuffer frames) {
        if (mClosed) {
            return;
        }
        mOut.addLast(frames);
        if (!mFlushing) {
            flush(mConnection.getSinkChannel());
        }
    }

    void close(String reason) {
        if (mClosed) {
            return;
        }
        mClosed = true;
        IoUtils.safeClose(mConnection);
        mOwner.onClosed(reason);
    }

    private void takeFrame(byte[] frame) throws IOException {
        if (!mClosed) {
            mOwner.onFrame(frame);
        }
    }

    private void read(ConduitStreamSourceChannel source) {
        try {
            while (!mClosed) {
                ByteBuffer buffer = READ_BUFFER.get().clear();
                int count = source.read(buffer);
                if (count == 0) {
                    return;
                }
                if (count < 0) {
                    close("the peer closed it");
                    return;
                }
                mCounters.add(PeerCounters.Event.BYTES_RECEIVED, count);
                feed(buffer.flip());
            }
        } catch (IOException e) {
            close(String.valueOf(e.getMessage()));
        }
    }

    private void feed(ByteBuffer bytes) throws IOException {
        try {
            mReader.feed(bytes);
        } catch (IOException e) {
            mCounters.count(PeerCounters.Event.BAD_FRAMES);
            throw e;
        }
    }

    private void flush(ConduitStreamSinkChannel sink) {
        mFlushing = true;
        try {
            do {
                if (!writeWaiting(sink)) {
                    sink.resumeWrites();
                    return;
                }
                mOwner.onWritable();
            } while (!mClosed && !mOut.isEmpty());
            if (!mClosed) {
                sink.suspendWrites();
            }
        } catch (IOException e) {
            close(String.valueOf(e.getMessage()));
        } finally {
            mFlushing = false;
        }
    }

    /** Writes what waits; false if the socket takes no more for now. */
    private boolean writeWaiting(ConduitStreamSinkChannel sink) throws IOException {
        while (!mOut.isEmpty()) {
            int count = sink.write(mOut.peekFirst());
            if (count == 0) {
                return false;
            }
            mCounters.add(PeerCounters.Event.BYTES_SENT, count);
            if (!mOut.peekFirst().hasRemaining()) {
                mOut.removeFirst();
            }
        }
        return true;
    }
}
