package org.amaranthpick.server.peer;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Cancellable;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/** Outgoing connection to one peer with its queue. Lives on one I/O thread. */
final class PeerLink {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);
    private static final int BATCH_BYTES = 64 * 1024;
    private static final int PING_BYTES = Long.BYTES;
    private static final int PING_FRAME_BYTES = SealedFrames.OVERHEAD_BYTES + PING_BYTES;

    private final PeerContext mContext;
    private final Identity mPeer;
    private final XnioIoThread mThread;
    private final SendQueue mQueue;
    private final Consumer<PeerLink> mOnIdle;
    private final AtomicBoolean mPumpPlanned = new AtomicBoolean();
    private Optional<Session> mSession = Optional.empty();
    private boolean mBackingOff;
    private boolean mClosed;
    private int mFailures;

    /**
     * Creates a link without a connection.
     *
     * @param context shared parts
     * @param peer host of the peer
     * @param thread I/O thread of the link
     * @param onIdle told when nothing waits and no connection is open; the link may be forgotten
     */
    PeerLink(PeerContext context, Identity peer, XnioIoThread thread, Consumer<PeerLink> onIdle) {
        mOnIdle = onIdle;
        mContext = context;
        mPeer = peer;
        mThread = thread;
        PeerSettings settings = context.settings();
        mQueue = new SendQueue(settings.maxQueuedFrames(), settings.maxQueuedBytes());
    }

    /** Queues one payload; called on any thread. */
    void send(byte[] payload) {
        drop(mQueue.add(payload));
        if (mPumpPlanned.compareAndSet(false, true)) {
            Tasks.run(mThread, this::pump);
        }
    }

    /** Closes the link from any thread. */
    void close() {
        Tasks.run(
                mThread,
                () -> {
                    mClosed = true;
                    mSession.ifPresent(session -> session.close("this daemon stops"));
                });
    }

    private void pump() {
        mPumpPlanned.set(false);
        if (mClosed || mBackingOff) {
            drop(mQueue.clear());
        } else if (mSession.isPresent()) {
            mSession.get().flush();
        } else {
            connect();
        }
    }

    private void connect() {
        Optional<PeerAddress> address = mContext.addresses().apply(mPeer);
        if (address.isEmpty()) {
            drop(mQueue.clear());
            mOnIdle.accept(this);
            return;
        }
        Session session = new Session();
        mSession = Optional.of(session);
        session.connect(new InetSocketAddress(address.get().ip(), address.get().port()));
    }

    private void onSessionClosed(Session session, String reason) {
        if (mSession.isEmpty() || mSession.get() != session) {
            return;
        }
        mSession = Optional.empty();
        if (mClosed) {
            return;
        }
        if (session.mUp) {
            sLogger.atFine().log("peer: connection to %s ended: %s", mPeer, reason);
            replaceIfNeeded(session);
        } else {
            sLogger.atFine().log("peer: no connection to %s: %s", mPeer, reason);
            backOff();
        }
    }

    /** An established connection that breaks says nothing of the host: a fresh one decides. */
    private void replaceIfNeeded(Session session) {
        if (session.mSilent || !mQueue.isEmpty()) {
            connect();
        } else {
            mOnIdle.accept(this);
        }
    }

    private void backOff() {
        mContext.counters().count(PeerCounters.Event.CONNECTIONS_FAILED);
        drop(mQueue.clear());
        mBackingOff = true;
        mFailures++;
        after(backoff(), this::endBackoff);
    }

    private void endBackoff() {
        mBackingOff = false;
        int failures = mFailures;
        after(mContext.settings().idleTimeout(), () -> forgetIfUnused(failures));
    }

    /** A peer that nobody sends to any more is forgotten, and its failures with it. */
    private void forgetIfUnused(int failures) {
        boolean unused = mSession.isEmpty() && !mBackingOff && mFailures == failures;
        if (unused && mQueue.isEmpty()) {
            mOnIdle.accept(this);
        }
    }

    private Duration backoff() {
        PeerSettings settings = mContext.settings();
        long baseMs = settings.backoffMin().toMillis() << Math.min(mFailures - 1, 16);
        long cappedMs = Math.min(baseMs, settings.backoffMax().toMillis());
        double jitter = 0.5 + mContext.random().nextDouble() / 2;
        return Duration.ofMillis(Math.max(1, Math.round(cappedMs * jitter)));
    }

    private void drop(int messages) {
        if (messages > 0) {
            mContext.counters().add(PeerCounters.Event.MESSAGES_DROPPED, messages);
        }
    }

    private Cancellable after(Duration delay, Runnable task) {
        return mContext.scheduler().schedule(delay, () -> Tasks.run(mThread, task));
    }

    /** One connection from its opening to its close. */
    private final class Session implements FramedConnection.Owner {
        private final Handshake mHandshake =
                Handshake.open(mContext.keys(), mContext.self(), mPeer, mContext.random());
        private Optional<FramedConnection> mFrames = Optional.empty();
        private SealedFrames mOut;
        private SealedFrames mIn;
        private boolean mUp;
        private boolean mEnded;
        private boolean mSilent;
        private boolean mPingWaits;
        private long mLastPongNs;
        private long mLastSendNs;
        private long mPingNumber;
        private Cancellable mTimer = () -> {};
        private Cancellable mPingTimer = () -> {};

        void connect(InetSocketAddress address) {
            Duration timeout = mContext.settings().connectTimeout();
            mTimer = after(timeout, () -> close("no connection within " + timeout));
            ChannelListener<StreamConnection> opened = this::onOpened;
            IoFuture<StreamConnection> future =
                    mThread.openStreamConnection(address, opened, OPTIONS);
            future.addNotifier((f, unused) -> onConnectDone(f), null);
        }

        private void onConnectDone(IoFuture<? extends StreamConnection> future) {
            if (future.getStatus() == IoFuture.Status.FAILED) {
                String reason = String.valueOf(future.getException().getMessage());
                Tasks.run(mThread, () -> close(reason));
            }
        }

        private void onOpened(StreamConnection connection) {
            if (mEnded) {
                IoUtils.safeClose(connection);
                return;
            }
            FramedConnection frames = new FramedConnection(connection, mContext.counters(), this);
            mFrames = Optional.of(frames);
            frames.start();
            frames.writePlain(mHandshake.helloFrame());
        }

        @Override
        public void onFrame(byte[] frame) throws IOException {
            if (mUp) {
                onPong(frame);
            } else {
                onChallenge(frame);
            }
        }

        private void onChallenge(byte[] frame) throws IOException {
            mFrames.get().writePlain(mHandshake.proofFrame(frame));
            mIn = mHandshake.fromAcceptor();
            mOut = mHandshake.fromOpener();
            mUp = true;
            mFailures = 0;
            mLastPongNs = now();
            mLastSendNs = mLastPongNs;
            mTimer.cancel();
            mTimer = after(mContext.settings().idleTimeout(), this::checkIdle);
            mContext.counters().count(PeerCounters.Event.CONNECTIONS_OPENED);
            flush();
        }

        private void onPong(byte[] frame) throws IOException {
            SealedFrames.Opened opened = mIn.open(frame);
            long number = ByteBuffer.wrap(opened.payload()).getLong();
            if (opened.type() == SealedFrames.PONG && number == mPingNumber) {
                mPingWaits = false;
                mPingTimer.cancel();
                mLastPongNs = now();
            }
        }

        @Override
        public void onWritable() {
            flush();
        }

        void flush() {
            if (!mUp || mEnded || !mFrames.get().isIdle()) {
                return;
            }
            Optional<SendQueue.Batch> batch = mQueue.take(mOut, BATCH_BYTES, PING_FRAME_BYTES);
            if (batch.isEmpty()) {
                return;
            }
            mContext.counters().add(PeerCounters.Event.MESSAGES_SENT, batch.get().messages());
            mLastSendNs = now();
            ByteBuffer buffer = batch.get().buffer();
            pingIfDue(buffer);
            mFrames.get().write(buffer.flip());
        }

        private void pingIfDue(ByteBuffer buffer) {
            long quietNs = mLastSendNs - mLastPongNs;
            if (mPingWaits || quietNs < mContext.settings().pingAfter().toNanos()) {
                return;
            }
            mPingWaits = true;
            mPingNumber++;
            byte[] payload = ByteBuffer.allocate(PING_BYTES).putLong(mPingNumber).array();
            mOut.seal(SealedFrames.PING, payload, buffer);
            mPingTimer = after(mContext.settings().pingTimeout(), this::onNoPong);
        }

        private void onNoPong() {
            if (mPingWaits && !mEnded) {
                mSilent = true;
                mContext.counters().count(PeerCounters.Event.CONNECTIONS_SILENT);
                close("no answer to a ping");
            }
        }

        private void checkIdle() {
            long idleNs = now() - mLastSendNs;
            long leftNs = mContext.settings().idleTimeout().toNanos() - idleNs;
            if (leftNs <= 0) {
                close("idle");
            } else {
                mTimer = after(Duration.ofNanos(leftNs), this::checkIdle);
            }
        }

        void close(String reason) {
            if (mFrames.isPresent()) {
                mFrames.get().close(reason);
            } else {
                onClosed(reason);
            }
        }

        @Override
        public void onClosed(String reason) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            mTimer.cancel();
            mPingTimer.cancel();
            onSessionClosed(this, reason);
        }

        private long now() {
            return mContext.scheduler().monotonicNs();
        }
    }
}
