package org.amaranthpick.server.http;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.amaranthpick.core.time.Cancellable;

/**
 * Tells the request in progress on a connection when the connection closes. A connection keeps its
 * close listeners until it closes, and callers keep a connection for many requests: a listener of
 * each request would keep all of them in memory. This is the only listener; it knows no request
 * that has ended.
 */
public final class ConnectionWatch {
    private static final AttachmentKey<ConnectionWatch> KEY =
            AttachmentKey.create(ConnectionWatch.class);

    private final AtomicReference<Optional<Runnable>> mOnClose =
            new AtomicReference<>(Optional.empty());

    private ConnectionWatch() {}

    /**
     * Runs a task when the connection closes, in place of that of an earlier request.
     *
     * @param connection HTTP/1.1 connection
     * @param onClose runs once at most
     * @return forgets the task; to be called when the request ends
     */
    public static Cancellable start(ServerConnection connection, Runnable onClose) {
        ConnectionWatch watch = connection.getAttachment(KEY);
        if (watch == null) {
            ConnectionWatch created = new ConnectionWatch();
            connection.putAttachment(KEY, created);
            connection.addCloseListener(closed -> created.onClosed());
            watch = created;
        }
        return watch.set(onClose);
    }

    private Cancellable set(Runnable onClose) {
        Optional<Runnable> task = Optional.of(onClose);
        mOnClose.set(task);
        return () -> mOnClose.compareAndSet(task, Optional.empty());
    }

    private void onClosed() {
        mOnClose.getAndSet(Optional.empty()).ifPresent(Runnable::run);
    }
}
