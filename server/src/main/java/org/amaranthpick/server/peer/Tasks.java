package org.amaranthpick.server.peer;

import java.util.concurrent.RejectedExecutionException;
import org.xnio.XnioIoThread;

/** Tasks on I/O threads. */
final class Tasks {
    private Tasks() {}

    /** Runs a task on an I/O thread; does nothing if the thread has ended. */
    static void run(XnioIoThread thread, Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            // The worker is shut down, and with it every connection.
        }
    }
}
