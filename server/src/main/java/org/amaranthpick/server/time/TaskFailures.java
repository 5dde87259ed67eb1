package org.amaranthpick.server.time;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogPerBucketingStrategy;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * Logs and counts the failures of tasks. A task that fails at each run is logged now and then. An
 * error of the virtual machine ends the process, except for a stack overflow and a lack of memory
 * for buffers outside the heap, which end with their step.
 */
final class TaskFailures {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final int LOG_PERIOD_S = 5;
    private static final int LOG_BUCKETS = 64;

    /** The same status as that of -XX:+ExitOnOutOfMemoryError. */
    private static final int EXIT_VIRTUAL_MACHINE_ERROR = 3;

    /** Part of the message of the error that the buffer classes of the JDK throw. */
    private static final String DIRECT_MEMORY = "direct buffer memory";

    private final LongAdder mCount = new LongAdder();
    private final IntConsumer mEndProcess;
    private volatile Consumer<String> mListener = task -> {};

    TaskFailures() {
        this(Runtime.getRuntime()::halt);
    }

    /**
     * Creates a receiver of failures.
     *
     * @param endProcess ends the process with a status
     */
    TaskFailures(IntConsumer endProcess) {
        mEndProcess = endProcess;
    }

    /** Sets what receives the name of each task that failed. */
    void setListener(Consumer<String> listener) {
        mListener = listener;
    }

    void report(String task, Throwable failure) {
        if (failure instanceof VirtualMachineError && !endsWithItsStep(failure)) {
            // The queue of the log is not written once the process has been halted.
            System.err.println(
                    "E task: failed name=\"" + task + "\", the process ends: " + failure);
            mEndProcess.accept(EXIT_VIRTUAL_MACHINE_ERROR);
        }
        mCount.increment();
        mListener.accept(task);
        sLogger.atSevere()
                .withCause(failure)
                .per(task, LogPerBucketingStrategy.byHashCode(LOG_BUCKETS))
                .atMostEvery(LOG_PERIOD_S, TimeUnit.SECONDS)
                .log("task: failed name=\"%s\"", task);
    }

    /** Returns whether an error is over once its step is; buffers outside the heap are released. */
    private static boolean endsWithItsStep(Throwable failure) {
        String message = failure.getMessage();
        return failure instanceof StackOverflowError
                || (failure instanceof OutOfMemoryError
                        && message != null
                        && message.contains(DIRECT_MEMORY));
    }

    long count() {
        return mCount.sum();
    }
}
