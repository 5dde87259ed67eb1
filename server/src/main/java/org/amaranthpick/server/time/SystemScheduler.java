package org.amaranthpick.server.time;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/** Scheduler on the system clocks, with one timer thread. */
public final class SystemScheduler implements Scheduler, AutoCloseable {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ScheduledThreadPoolExecutor mExecutor;

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

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            sLogger.atSevere().withCause(e).log("timer: task failed");
        }
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
