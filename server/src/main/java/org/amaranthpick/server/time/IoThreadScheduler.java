package org.amaranthpick.server.time;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Scheduler on the system clocks whose timers run on one I/O thread, without a thread of its own.
 */
public final class IoThreadScheduler implements Scheduler, Executor {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final XnioIoThread mThread;
    private final TaskFailures mFailures = new TaskFailures();

    /**
     * Creates a scheduler.
     *
     * @param thread runs the timers and tasks
     */
    public IoThreadScheduler(XnioIoThread thread) {
        mThread = thread;
    }

    /**
     * Sets what is notified of each failed task.
     *
     * @param listener receives the name of the task
     */
    public void setOnTaskFailed(Consumer<String> listener) {
        mFailures.setListener(listener);
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
        try {
            XnioExecutor.Key key =
                    mThread.executeAfter(
                            () -> runLogged(task),
                            Math.max(1, delay.toMillis()),
                            TimeUnit.MILLISECONDS);
            return key::remove;
        } catch (RejectedExecutionException e) {
            sLogger.atFine().withCause(e).log("timer: the I/O thread has ended");
            return () -> {};
        }
    }

    /** Runs a task now if the caller is the I/O thread, else soon on that thread. */
    @Override
    public void execute(Runnable task) {
        if (Thread.currentThread() == mThread) {
            runLogged(task);
        } else {
            mThread.execute(() -> runLogged(task));
        }
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
}
