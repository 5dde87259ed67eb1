package org.amaranthpick.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** Forwards TCP connections on loopback, and harms them on command. */
final class LoopbackProxy implements AutoCloseable {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Longer than a usual answer, shorter than any time-out of the daemon. */
    private static final long DELAY_NS = 120_000_000;

    private static final long HOLD_STEP_NS = 10_000_000;
    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket mListener;
    private final String mTargetHost;
    private final int mTargetPort;
    private final Set<Link> mLinks = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mHolds = new AtomicInteger();
    private volatile int mBytesBeforeHold;
    private volatile LinkHarm mHarm = LinkHarm.NONE;

    /**
     * Starts a proxy.
     *
     * @param target IP number and port
     * @throws IOException if loopback cannot be listened on
     */
    LoopbackProxy(String target) throws IOException {
        mTargetHost = target.substring(0, target.indexOf(':'));
        mTargetPort = Integer.parseInt(target.substring(target.indexOf(':') + 1));
        mListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start("proxy " + target, this::accept);
    }

    String address() {
        return mListener.getInetAddress().getHostAddress() + ":" + mListener.getLocalPort();
    }

    /** Sets what is done from now on. */
    void harm(LinkHarm harm) {
        LinkHarm before = mHarm;
        mHarm = harm;
        if (harm == LinkHarm.RESET) {
            mLinks.forEach(Link::reset);
        } else if (before == LinkHarm.ONE_WAY) {
            mLinks.stream().filter(link -> link.mSpoiled).forEach(Link::reset);
        }
    }

    /** Holds what comes back after this many more bytes of each connection, until released. */
    void holdAfter(int bytes) {
        mBytesBeforeHold = bytes;
        mHolds.incrementAndGet();
    }

    /** Ends one hold. */
    void release() {
        mHolds.decrementAndGet();
    }

    private void accept() {
        while (!mListener.isClosed()) {
            try {
                Socket near = mListener.accept();
                if (mHarm == LinkHarm.RESET) {
                    near.setSoLinger(true, 0);
                    near.close();
                } else {
                    connect(near);
                }
            } catch (IOException e) {
                sLogger.atFine().withCause(e).log("proxy: no connection taken");
            }
        }
    }

    private void connect(Socket near) throws IOException {
        Socket far;
        try {
            far = new Socket(mTargetHost, mTargetPort);
        } catch (IOException e) {
            near.setSoLinger(true, 0);
            near.close();
            return;
        }
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Link link = new Link(near, far);
        mLinks.add(link);
        start("there", () -> link.pump(near, far, false));
        start("back", () -> link.pump(far, near, true));
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        mLinks.forEach(Link::reset);
    }

    /** One connection and its continuation. */
    private final class Link {
        private final Socket mNear;
        private final Socket mFar;
        private volatile boolean mSpoiled;
        private int mSinceHold;

        Link(Socket near, Socket far) {
            mNear = near;
            mFar = far;
        }

        void pump(Socket from, Socket to, boolean back) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    int first = back ? bytesBeforeHold(n) : n;
                    if (first > 0 && passes(back)) {
                        out.write(buffer, 0, first);
                    }
                    awaitRelease(back);
                    if (first < n && passes(back)) {
                        out.write(buffer, first, n - first);
                    }
                }
                to.shutdownOutput();
            } catch (IOException e) {
                reset();
            }
            if (mNear.isInputShutdown() || back) {
                mLinks.remove(this);
            }
        }

        private int bytesBeforeHold(int n) {
            if (mHolds.get() == 0) {
                mSinceHold = 0;
                return n;
            }
            int first = Math.min(n, Math.max(0, mBytesBeforeHold - mSinceHold));
            mSinceHold += first;
            return first;
        }

        private void awaitRelease(boolean back) {
            while (back && mHolds.get() > 0 && mSinceHold >= mBytesBeforeHold) {
                LockSupport.parkNanos(HOLD_STEP_NS);
            }
        }

        /** Waits as the harm in force says; false if the bytes are lost. */
        private boolean passes(boolean back) {
            if (mHarm == LinkHarm.DELAY) {
                LockSupport.parkNanos(DELAY_NS);
            }
            while (mHarm == LinkHarm.SILENCE) {
                LockSupport.parkNanos(HOLD_STEP_NS);
            }
            mSpoiled |= back && mHarm == LinkHarm.ONE_WAY;
            return !mSpoiled;
        }

        void reset() {
            for (Socket socket : new Socket[] {mNear, mFar}) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    sLogger.atFine().withCause(e).log("proxy: already closed");
                }
            }
            mLinks.remove(this);
        }
    }
}
