package org.amaranthpick.server.time;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogPerBucketingStrategy;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/** Logs and counts the failures of tasks. A task that fails at each run is logged now and then. */
final class TaskFailures {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final int LOG_PERIOD_S = 5;
    private static final int LOG_BUCKETS = 64;

    private final LongAdder mCount = new LongAdder();
    private volatile Consumer<String> mListener = task -> {};

    /** Sets what receives the name of each task that failed. */
    void setListener(Consumer<String> listener) {
        mListener = listener;
    }

    void report(String task, RuntimeException failure) {
        mCount.increment();
        mListener.accept(task);
        sLogger.atSevere()
                .withCause(failure)
                .per(task, LogPerBucketingStrategy.byHashCode(LOG_BUCKETS))
                .atMostEvery(LOG_PERIOD_S, TimeUnit.SECONDS)
                .log("task: failed name=\"%s\"", task);
    }

    long count() {
        return mCount.sum();
    }
}
