package org.amaranthpick.server.http;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.BoundChannel;

/**
 * Opens connections on an I/O thread with {@link ReadGuards} below the library's parser. Only
 * passes on what it is asked for; never started as a thread.
 */
final class LimitingThread extends XnioIoThread {
    private final XnioIoThread mThread;
    private Optional<ReadGuards> mLatest = Optional.empty();

    LimitingThread(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        mThread = thread;
    }

    /**
     * Returns the guards of the connection that was opened last, and forgets them: they would keep
     * the last request on that connection. Called on the I/O thread.
     */
    ReadGuards takeLatest() {
        ReadGuards latest = mLatest.orElseThrow();
        mLatest = Optional.empty();
        return latest;
    }

    /** Returns whether the current thread is the I/O thread. */
    boolean isCurrent() {
        return Thread.currentThread() == mThread;
    }

    @Override
    protected IoFuture<StreamConnection> openTcpStreamConnection(
            InetSocketAddress bindAddress,
            InetSocketAddress destination,
            ChannelListener<? super StreamConnection> openListener,
            ChannelListener<? super BoundChannel> bindListener,
            OptionMap options) {
        ChannelListener<StreamConnection> limiting =
                connection -> {
                    mLatest = Optional.of(ReadGuards.install(connection.getSourceChannel()));
                    openListener.handleEvent(connection);
                };
        return bindAddress == null
                ? mThread.openStreamConnection(destination, limiting, bindListener, options)
                : mThread.openStreamConnection(
                        bindAddress, destination, limiting, bindListener, options);
    }

    @Override
    public void execute(Runnable command) {
        mThread.execute(command);
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return mThread.executeAfter(command, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return mThread.executeAtInterval(command, time, unit);
    }
}
