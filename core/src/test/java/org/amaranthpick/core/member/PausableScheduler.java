package org.amaranthpick.core.member;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/** Timers of one process that can be paused; the clocks go on. */
public final class PausableScheduler implements Scheduler {
    private final Scheduler mScheduler;
    private final List<Runnable> mHeld = new ArrayList<>();
    private boolean mPaused;

    PausableScheduler(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    void setPaused(boolean paused) {
        mPaused = paused;
        if (!paused) {
            List<Runnable> due = List.copyOf(mHeld);
            mHeld.clear();
            due.forEach(Runnable::run);
        }
    }

    @Override
    public Instant instant() {
        return mScheduler.instant();
    }

    @Override
    public long monotonicNs() {
        return mScheduler.monotonicNs();
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        return mScheduler.schedule(delay, () -> runOrHold(task));
    }

    private void runOrHold(Runnable task) {
        if (mPaused) {
            mHeld.add(task);
        } else {
            task.run();
        }
    }
}
