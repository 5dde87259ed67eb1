package org.amaranthpick.core.member;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/** Scheduler whose timers can be paused while its clocks keep running, like a stopped process. */
public final class PausableScheduler implements Scheduler {
    private final Scheduler mScheduler;
    private final List<Runnable> mDeferred = new ArrayList<>();
    private boolean mPaused;

    PausableScheduler(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    void setPaused(boolean paused) {
        mPaused = paused;
        if (!paused) {
            List<Runnable> due = List.copyOf(mDeferred);
            mDeferred.clear();
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
        return mScheduler.schedule(delay, () -> runOrDefer(task));
    }

    private void runOrDefer(Runnable task) {
        if (mPaused) {
            mDeferred.add(task);
        } else {
            task.run();
        }
    }
}
