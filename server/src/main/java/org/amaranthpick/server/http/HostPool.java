package org.amaranthpick.server.http;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthpick.core.time.Scheduler;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;

/** Connections to one receiver. Everything but {@link #close()} runs on its I/O thread. */
final class HostPool {
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final ThreadLocal<ByteBuffer> READ_BUFFER =
            ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(READ_BUFFER_BYTES));
    private static final OptionMap OPTIONS =
            OptionMap.builder()
                    .set(Options.TCP_NODELAY, true)
                    .set(UndertowOptions.ENABLE_STATISTICS, true)
                    .getMap();

    private final URI mAddress;
    private final LimitingThread mThread;
    private final ByteBufferPool mBuffers;
    private final Scheduler mScheduler;
    private final ConnectorSettings mSettings;
    private final ConnectorCounters mCounters;
    private final Deque<Idle> mIdle = new ArrayDeque<>();
    private final Deque<Taker> mWaiting = new ArrayDeque<>();
    private final AtomicInteger mOpen = new AtomicInteger();
    private boolean mSweepPlanned;
    private boolean mClosed;

    /** Gets the connection that it asked for. */
    interface Taker {
        /**
         * A connection is there.
         *
         * @param connection the connection, to be released or closed by the taker
         * @param reused true if it carried a call before
         */
        void onConnection(LimitedConnection connection, boolean reused);

        /**
         * There is none.
         *
         * @param reason what was seen
         */
        void onNoConnection(String reason);
    }

    private record Idle(LimitedConnection connection, long sinceNs) {}

    HostPool(
            URI address,
            XnioIoThread thread,
            ByteBufferPool buffers,
            Scheduler scheduler,
            ConnectorSettings settings,
            ConnectorCounters counters) {
        mAddress = address;
        mThread = new LimitingThread(thread);
        mBuffers = buffers;
        mScheduler = scheduler;
        mSettings = settings;
        mCounters = counters;
    }

    /**
     * Runs a task on the thread of this pool.
     *
     * @return false if the thread has ended; the task is then not run
     */
    boolean execute(Runnable task) {
        try {
            mThread.execute(task);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    /** Returns whether the current thread is that of this pool. */
    boolean isOnThread() {
        return mThread.isCurrent();
    }

    /** Returns whether no connection is open or being opened, and so none is waited for. */
    boolean isUnused() {
        return mOpen.get() == 0;
    }

    ConnectorCounters counters() {
        return mCounters;
    }

    Duration connectTimeout() {
        return mSettings.connectTimeout();
    }

    /** Returns the empty buffer that the calls of this thread read into, one after another. */
    static ByteBuffer readBuffer() {
        return READ_BUFFER.get().clear();
    }

    /** Takes a pooled connection, or opens one; waits in a bounded queue when all are in use. */
    void acquire(Taker taker) {
        Idle idle = pollUsable();
        if (idle != null) {
            mCounters.countReused();
            taker.onConnection(idle.connection(), true);
        } else {
            acquireFresh(taker);
        }
    }

    /** Opens a connection, in place of an idle one where all are in use. */
    void acquireFresh(Taker taker) {
        if (mClosed) {
            taker.onNoConnection("the client is closed");
        } else if (mOpen.get() < mSettings.maxConnections()) {
            connect(taker);
        } else if (!mIdle.isEmpty()) {
            mWaiting.addFirst(taker);
            mIdle.pollFirst().connection().closeNow();
        } else if (mWaiting.size() < mSettings.maxWaiting()) {
            mWaiting.addLast(taker);
        } else {
            taker.onNoConnection(
                    "all " + mSettings.maxConnections() + " connections are in use and more wait");
        }
    }

    void forget(Taker taker) {
        mWaiting.remove(taker);
    }

    /** Takes back a connection whose call was read to its end. */
    void release(LimitedConnection connection) {
        if (mClosed || !connection.isReusable()) {
            connection.closeNow();
            return;
        }
        Taker next = mWaiting.pollFirst();
        if (next != null) {
            mCounters.countReleased();
            mCounters.countReused();
            next.onConnection(connection, true);
            return;
        }
        mIdle.addLast(new Idle(connection, mScheduler.monotonicNs()));
        mCounters.countReleased();
        planSweep();
    }

    /** Closes every idle connection: one of the same age was found silent. */
    void dropIdle() {
        while (!mIdle.isEmpty()) {
            mIdle.pollFirst().connection().closeNow();
        }
    }

    void close() {
        execute(
                () -> {
                    mClosed = true;
                    dropIdle();
                });
    }

    private Idle pollUsable() {
        while (!mIdle.isEmpty()) {
            Idle idle = mIdle.pollLast();
            if (idle.connection().isReusable() && !isOld(idle)) {
                return idle;
            }
            idle.connection().closeNow();
        }
        return null;
    }

    private boolean isOld(Idle idle) {
        long idleNs = mScheduler.monotonicNs() - idle.sinceNs();
        return idleNs >= mSettings.idleTimeout().toNanos();
    }

    private void connect(Taker taker) {
        mOpen.incrementAndGet();
        ClientCallback<ClientConnection> callback =
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientConnection connection) {
                        LimitedConnection limited =
                                new LimitedConnection(connection, mThread.takeLatest());
                        execute(() -> onOpened(limited, taker));
                    }

                    @Override
                    public void failed(IOException e) {
                        execute(() -> onOpenFailed(e, taker));
                    }
                };
        try {
            UndertowClient.getInstance().connect(callback, mAddress, mThread, mBuffers, OPTIONS);
        } catch (RuntimeException e) {
            onOpenFailed(new IOException(e), taker);
        }
    }

    private void onOpened(LimitedConnection connection, Taker taker) {
        mCounters.countOpened();
        connection.client().addCloseListener(closed -> execute(this::onClosed));
        taker.onConnection(connection, false);
    }

    private void onOpenFailed(IOException e, Taker taker) {
        mCounters.countFailed();
        mOpen.decrementAndGet();
        taker.onNoConnection("no connection: " + Failures.text(e));
        serveWaiting();
    }

    private void onClosed() {
        mOpen.decrementAndGet();
        mIdle.removeIf(idle -> !idle.connection().isOpen());
        serveWaiting();
    }

    private void serveWaiting() {
        while (!mClosed && !mWaiting.isEmpty() && mOpen.get() < mSettings.maxConnections()) {
            connect(mWaiting.pollFirst());
        }
    }

    private void planSweep() {
        if (mSweepPlanned) {
            return;
        }
        mSweepPlanned = true;
        mScheduler.schedule(mSettings.idleTimeout(), () -> execute(this::sweep));
    }

    private void sweep() {
        mSweepPlanned = false;
        for (Iterator<Idle> it = mIdle.iterator(); it.hasNext(); ) {
            Idle idle = it.next();
            if (isOld(idle)) {
                it.remove();
                idle.connection().closeNow();
            }
        }
        if (!mIdle.isEmpty()) {
            planSweep();
        }
    }
}
