package org.amaranthpick.server.http;

import java.time.Duration;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/** Opens one connection within a time. Lives on the I/O thread of its pool. */
final class ConnectionOpener implements HostPool.Taker {
    private final HostPool mPool;
    private final OpenedConnection.Listener mListener;
    private Cancellable mTimer = () -> {};
    private boolean mDone;

    ConnectionOpener(HostPool pool, OpenedConnection.Listener listener) {
        mPool = pool;
        mListener = listener;
    }

    void open(Scheduler scheduler, Duration timeout) {
        mTimer = scheduler.schedule(timeout, () -> mPool.execute(() -> onTimeout(timeout)));
        mPool.acquireFresh(this);
    }

    private void onTimeout(Duration timeout) {
        if (!mDone) {
            mPool.forget(this);
            onNoConnection("no connection within " + timeout.toMillis() + " ms");
        }
    }

    @Override
    public void onConnection(LimitedConnection connection, boolean reused) {
        if (mDone) {
            connection.closeNow();
            return;
        }
        mDone = true;
        mTimer.cancel();
        mListener.onOpened(new OpenedConnection(mPool, connection));
    }

    @Override
    public void onNoConnection(String reason) {
        if (!mDone) {
            mDone = true;
            mTimer.cancel();
            mListener.onFailed(reason);
        }
    }
}
