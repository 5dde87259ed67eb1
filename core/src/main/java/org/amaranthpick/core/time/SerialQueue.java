package org.amaranthpick.core.time;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * Runs events one at a time, in the order in which they are posted. An event runs on the thread
 * that posts it, or on the thread that is already running events of this queue. No lock is held
 * while an event runs, so an event may post further events.
 */
public final class SerialQueue {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String LOG_PREFIX = "queue:";

    private final Queue<Runnable> mEvents = new ArrayDeque<>(2);
    private final Consumer<Throwable> mOnFailure;
    private boolean mRunning;

    /**
     * Creates an empty queue.
     *
     * @param onFailure receives the exception or error that an event threw
     */
    public SerialQueue(Consumer<Throwable> onFailure) {
        mOnFailure = onFailure;
    }

    /**
     * Posts an event. It runs before this method returns unless events of this queue are running
     * already.
     *
     * @param event event to run
     */
    public void post(Runnable event) {
        synchronized (this) {
            mEvents.add(event);
            if (mRunning) {
                return;
            }
            mRunning = true;
        }
        drain();
    }

    private void drain() {
        while (true) {
            Runnable event;
            synchronized (this) {
                event = mEvents.poll();
                if (event == null) {
                    mRunning = false;
                    return;
                }
            }
            runAndReportFailure(event);
        }
    }

    private void runAndReportFailure(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | Error e) {
            sLogger.atSevere().withCause(e).log("%s event failed", LOG_PREFIX);
            mOnFailure.accept(e);
        }
    }
}
