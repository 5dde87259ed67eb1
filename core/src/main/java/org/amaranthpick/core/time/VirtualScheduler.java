package org.amaranthpick.core.time;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;

/**
 * Scheduler on virtual time, for tests and benchmarks. Tasks run in the order of their due times,
 * and of their scheduling if these are equal, on the thread that advances the time. Not
 * thread-safe.
 */
public final class VirtualScheduler implements Scheduler {
    private final PriorityQueue<ScheduledTask> mQueue = new PriorityQueue<>();
    private final Instant mOrigin;
    private long mNowNs;
    private long mSequence;
    private BiConsumer<String, Throwable> mOnTaskFailed = Scheduler.super::onTaskFailed;

    /**
     * Creates a scheduler.
     *
     * @param origin wall-clock time at the start
     */
    public VirtualScheduler(Instant origin) {
        mOrigin = origin;
    }

    @Override
    public Instant instant() {
        return mOrigin.plusNanos(mNowNs);
    }

    @Override
    public long monotonicNs() {
        return mNowNs;
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        long delayNs = Math.max(0, delay.toNanos());
        ScheduledTask scheduled = new ScheduledTask(mNowNs + delayNs, mSequence++, task);
        mQueue.add(scheduled);
        return () -> scheduled.mCancelled = true;
    }

    @Override
    public void onTaskFailed(String task, Throwable failure) {
        mOnTaskFailed.accept(task, failure);
    }

    /**
     * Sets what receives the exceptions and errors of tasks, instead of the caller of {@link
     * #advance}.
     *
     * @param receiver receives the name of the task and the exception
     */
    public void setOnTaskFailed(BiConsumer<String, Throwable> receiver) {
        mOnTaskFailed = receiver;
    }

    /**
     * Advances the time and runs every task that is due by then.
     *
     * @param step time by which to advance
     */
    public void advance(Duration step) {
        long endNs = mNowNs + step.toNanos();
        while (!mQueue.isEmpty() && mQueue.peek().mDueNs <= endNs) {
            ScheduledTask scheduled = mQueue.poll();
            mNowNs = Math.max(mNowNs, scheduled.mDueNs);
            if (!scheduled.mCancelled) {
                scheduled.mTask.run();
            }
        }
        mNowNs = endNs;
    }

    /**
     * Returns the number of scheduled tasks, including cancelled ones.
     *
     * @return number of tasks
     */
    public int pending() {
        return mQueue.size();
    }

    private static final class ScheduledTask implements Comparable<ScheduledTask> {
        private final long mDueNs;
        private final long mOrder;
        private final Runnable mTask;
        private boolean mCancelled;

        ScheduledTask(long dueNs, long order, Runnable task) {
            mDueNs = dueNs;
            mOrder = order;
            mTask = task;
        }

        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = Long.compare(mDueNs, other.mDueNs);
            return byTime != 0 ? byTime : Long.compare(mOrder, other.mOrder);
        }
    }
}
