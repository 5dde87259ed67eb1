package org.amaranthpick.server.time;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/** Scheduler on the system clocks, with one timer thread. */
public final class SystemScheduler implements Scheduler, AutoCloseable {
    private final ScheduledThreadPoolExecutor mExecutor;
    private final TaskFailures mFailures = new TaskFailures();

    /**
     * Starts the timer thread.
     *
     * @param threadName name of the thread
     */
    public SystemScheduler(String threadName) {
        mExecutor = new ScheduledThreadPoolExecutor(1, task -> daemonThread(task, threadName));
        mExecutor.setRemoveOnCancelPolicy(true);
        mExecutor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /**
     * Returns the number of tasks that ended with an exception.
     *
     * @return number since the start
     */
    public long taskFailures() {
        return mFailures.count();
    }

    @Override
    public Instant instant() {
        return Instant.now();
    }

    @Override
    public long monotonicNs() {
        return System.nanoTime();
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        if (mExecutor.isShutdown()) {
            return () -> {};
        }
        long delayNs = Math.max(0, delay.toNanos());
        ScheduledFuture<?> future =
                mExecutor.schedule(() -> runLogged(task), delayNs, TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    @Override
    public void onTaskFailed(String task, Throwable failure) {
        mFailures.report(task, failure);
    }

    private void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            mFailures.report("timer", e);
        }
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
