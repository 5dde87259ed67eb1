package org.amaranthpick.server.http;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.time.Cancellable;

/**
 * Notifies the request in progress on a connection, in each of its parts, when it closes. A
 * connection keeps its close listeners until it closes, and callers keep a connection for many
 * requests: a listener of each request would keep all of them in memory. This is the only listener;
 * it knows no request that has ended.
 */
public final class ConnectionWatch {
    private static final AttachmentKey<ConnectionWatch> KEY =
            AttachmentKey.create(ConnectionWatch.class);

    private final Set<Task> mTasks = ConcurrentHashMap.newKeySet();

    /** Compared by identity: a request may watch twice with the same action. */
    private static final class Task {
        private final Runnable mAction;

        private Task(Runnable action) {
            mAction = action;
        }
    }

    private ConnectionWatch() {}

    /**
     * Runs a task when the connection closes.
     *
     * @param connection HTTP/1.1 connection
     * @param onClose runs once at most
     * @return forgets the task; to be called at the end of the request at the latest
     */
    public static Cancellable start(ServerConnection connection, Runnable onClose) {
        ConnectionWatch watch = connection.getAttachment(KEY);
        if (watch == null) {
            ConnectionWatch created = new ConnectionWatch();
            connection.putAttachment(KEY, created);
            connection.addCloseListener(closed -> created.onClosed());
            watch = created;
        }
        return watch.add(onClose);
    }

    private Cancellable add(Runnable onClose) {
        Task task = new Task(onClose);
        mTasks.add(task);
        return () -> mTasks.remove(task);
    }

    private void onClosed() {
        for (Task task : List.copyOf(mTasks)) {
            if (mTasks.remove(task)) {
                task.mAction.run();
            }
        }
    }
}
