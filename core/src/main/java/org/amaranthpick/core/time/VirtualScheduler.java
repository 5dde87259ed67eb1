package org.amaranthpick.core.time;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

/**
 * Scheduler on virtual time, for tests and measuring runs. Tasks run in order of due time, then of
 * scheduling, on the thread that advances the time. Not thread-safe.
 */
public final class VirtualScheduler implements Scheduler {
    private final PriorityQueue<Entry> mQueue = new PriorityQueue<>();
    private final Instant mOrigin;
    private long mNowNs;
    private long mSequence;

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
        Entry entry = new Entry(mNowNs + delayNs, mSequence++, task);
        mQueue.add(entry);
        return () -> entry.mCancelled = true;
    }

    /**
     * Advances the time and runs every task that falls due.
     *
     * @param step time to advance by
     */
    public void advance(Duration step) {
        long endNs = mNowNs + step.toNanos();
        while (!mQueue.isEmpty() && mQueue.peek().mDueNs <= endNs) {
            Entry entry = mQueue.poll();
            mNowNs = Math.max(mNowNs, entry.mDueNs);
            if (!entry.mCancelled) {
                entry.mTask.run();
            }
        }
        mNowNs = endNs;
    }

    /**
     * Counts the tasks that wait, cancelled ones included.
     *
     * @return number of tasks
     */
    public int pending() {
        return mQueue.size();
    }

    private static final class Entry implements Comparable<Entry> {
        private final long mDueNs;
        private final long mOrder;
        private final Runnable mTask;
        private boolean mCancelled;

        Entry(long dueNs, long order, Runnable task) {
            mDueNs = dueNs;
            mOrder = order;
            mTask = task;
        }

        @Override
        public int compareTo(Entry other) {
            int byTime = Long.compare(mDueNs, other.mDueNs);
            return byTime != 0 ? byTime : Long.compare(mOrder, other.mOrder);
        }
    }
}
