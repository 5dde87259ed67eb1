package org.amaranthpick.core.time;

import java.time.Duration;
import java.time.InstantSource;

/** Wall clock, monotonic clock and timers of the process. */
public interface Scheduler extends InstantSource {
    /**
     * Returns the time of the monotonic clock, which never goes back and also counts time in which
     * the process was paused.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long monotonicNs();

    /**
     * Schedules a task to run once after a delay. The task must be short and must not block.
     *
     * @param delay delay; zero or less runs the task as soon as possible
     * @param task task to run
     * @return handle that cancels the task if it has not started
     */
    Cancellable schedule(Duration delay, Runnable task);

    /**
     * Receives the exception or error of a task that goes on nevertheless. The scheduler of a
     * daemon logs and counts it, and ends the process after an error of the virtual machine; others
     * pass it on to whoever runs the task.
     *
     * @param task name of the task
     * @param failure what it threw
     */
    default void onTaskFailed(String task, Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        if (failure instanceof RuntimeException exception) {
            throw exception;
        }
        throw new IllegalStateException(failure);
    }
}
