package org.amaranthpick.core.time;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * Runs the events of one owner one after another. An event runs on the thread that posts it, or on
 * the thread that is already running events of the same queue; the lock is never held while an
 * event runs, so an event may post further events.
 */
public final class SerialQueue {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String PREFIX = "queue:";

    private final Queue<Runnable> mEvents = new ArrayDeque<>(2);
    private final Consumer<RuntimeException> mOnFailure;
    private boolean mRunning;

    /**
     * Creates an empty queue.
     *
     * @param onFailure told of an exception that an event threw
     */
    public SerialQueue(Consumer<RuntimeException> onFailure) {
        mOnFailure = onFailure;
    }

    /**
     * Posts an event; runs it now unless another thread or caller is running events.
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
            runSafely(event);
        }
    }

    private void runSafely(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            sLogger.atSevere().withCause(e).log("%s event failed", PREFIX);
            mOnFailure.accept(e);
        }
    }
}
