package org.amaranthpick.core.time;

import java.time.Duration;
import java.time.InstantSource;

/** Wall clock, monotonic clock and timers of the process. */
public interface Scheduler extends InstantSource {
    /**
     * Reads the monotonic clock. It never goes back and includes time in which the process stood
     * still.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long monotonicNs();

    /**
     * Runs a task once after a delay. The task must be short and must not block.
     *
     * @param delay time to wait; zero or less runs the task as soon as possible
     * @param task task to run
     * @return handle that cancels the task if it has not started
     */
    Cancellable schedule(Duration delay, Runnable task);
}
