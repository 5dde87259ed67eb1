package org.amaranthpick.server.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Cancellable;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/** Connection that another daemon, or a stranger, opened to this one. */
final class IncomingConnection implements FramedConnection.Owner {
    private static final int IDLE_FACTOR = 3;

    private final PeerContext mContext;
    private final XnioIoThread mThread;
    private final FramedConnection mFrames;
    private final Registry mRegistry;
    private Optional<Handshake> mHandshake = Optional.empty();
    private Identity mFrom;
    private SealedFrames mIn;
    private SealedFrames mOut;
    private long mLastFrameNs;
    private Cancellable mTimer = () -> {};

    /** Keeps track of the incoming connections. */
    interface Registry {
        /** The opener proved that it holds a key. */
        void onAuthenticated(IncomingConnection connection, Identity from);

        /** The connection closed. */
        void onClosed(IncomingConnection connection, Optional<Identity> from);
    }

    IncomingConnection(PeerContext context, StreamConnection connection, Registry registry) {
        mContext = context;
        mThread = connection.getIoThread();
        mFrames = new FramedConnection(connection, context.counters(), this);
        mRegistry = registry;
    }

    void start() {
        mTimer =
                after(
                        mContext.settings().connectTimeout(),
                        () -> mFrames.close("no proof in time"));
        mFrames.start();
    }

    /** Closes the connection from any thread. */
    void close(String reason) {
        Tasks.run(mThread, () -> mFrames.close(reason));
    }

    @Override
    public void onFrame(byte[] frame) throws IOException {
        if (mHandshake.isEmpty()) {
            onHello(frame);
        } else if (mFrom == null) {
            onProof(frame);
        } else {
            onSealed(frame);
        }
    }

    @Override
    public void onWritable() {
        // Only pongs are written, each at once.
    }

    @Override
    public void onClosed(String reason) {
        mTimer.cancel();
        if (mFrom == null) {
            mContext.counters().count(PeerCounters.Event.STRANGERS_REFUSED);
        }
        mRegistry.onClosed(this, Optional.ofNullable(mFrom));
    }

    private void onHello(byte[] frame) throws IOException {
        Optional<Handshake> handshake = Handshake.accept(mContext.keys(), frame);
        if (handshake.isEmpty()) {
            mFrames.close("hello without a known key");
            return;
        }
        Hello hello = handshake.get().hello();
        if (!hello.to().equals(mContext.self())) {
            mFrames.close("hello for another host");
            return;
        }
        mHandshake = handshake;
        mFrames.writePlain(handshake.get().challengeFrame(hello, mContext.random()));
    }

    private void onProof(byte[] frame) throws IOException {
        Handshake handshake = mHandshake.get();
        if (!handshake.isProof(frame)) {
            mFrames.close("wrong proof");
            return;
        }
        mFrom = handshake.hello().from();
        mIn = handshake.fromOpener();
        mOut = handshake.fromAcceptor();
        mFrames.setMaxFrameBytes(mContext.settings().maxFrameBytes());
        mTimer.cancel();
        mLastFrameNs = mContext.scheduler().monotonicNs();
        mTimer = after(idleTimeout(), this::checkIdle);
        mContext.counters().count(PeerCounters.Event.CONNECTIONS_ACCEPTED);
        mRegistry.onAuthenticated(this, mFrom);
    }

    private void onSealed(byte[] frame) throws IOException {
        mLastFrameNs = mContext.scheduler().monotonicNs();
        SealedFrames.Opened opened = mIn.open(frame);
        if (opened.type() == SealedFrames.PING) {
            pong(opened.payload());
        } else if (opened.type() == SealedFrames.MESSAGE) {
            mContext.counters().count(PeerCounters.Event.MESSAGES_RECEIVED);
            mContext.inbox().onPayload(mFrom, opened.payload());
        }
    }

    private void pong(byte[] payload) {
        ByteBuffer frame = ByteBuffer.allocate(SealedFrames.OVERHEAD_BYTES + payload.length);
        mOut.seal(SealedFrames.PONG, payload, frame);
        mFrames.write(frame.flip());
    }

    private void checkIdle() {
        long idleNs = mContext.scheduler().monotonicNs() - mLastFrameNs;
        long leftNs = idleTimeout().toNanos() - idleNs;
        if (leftNs <= 0) {
            mFrames.close("idle");
        } else {
            mTimer = after(Duration.ofNanos(leftNs), this::checkIdle);
        }
    }

    /** The opener closes an idle connection first; this side only when the opener is gone. */
    private Duration idleTimeout() {
        return mContext.settings().idleTimeout().multipliedBy(IDLE_FACTOR);
    }

    private Cancellable after(Duration delay, Runnable task) {
        return mContext.scheduler().schedule(delay, () -> Tasks.run(mThread, task));
    }
}
