package org.amaranthpick.server.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.TaskGuard;

/**
 * Runs controllers at their periods. Each start is shifted by a random part of the period, so that
 * daemons started together do not act together. After a step that fails the next one runs.
 */
final class ControlLoop implements AutoCloseable {
    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final TaskGuard mGuard;
    private final List<Run> mRuns = new ArrayList<>();
    private volatile boolean mClosed;

    ControlLoop(Scheduler scheduler, RandomGenerator random) {
        mScheduler = scheduler;
        mRandom = random;
        mGuard = new TaskGuard(scheduler);
    }

    synchronized void add(Controller controller) {
        Run run = new Run(controller);
        mRuns.add(run);
        long shiftNs = (long) (controller.period().toNanos() * mRandom.nextDouble());
        run.next(Duration.ofNanos(shiftNs));
    }

    @Override
    public synchronized void close() {
        mClosed = true;
        mRuns.forEach(Run::cancel);
    }

    private final class Run {
        private final Controller mController;
        private volatile Cancellable mTimer = () -> {};

        Run(Controller controller) {
            mController = controller;
        }

        void next(Duration delay) {
            if (!mClosed) {
                mTimer = mScheduler.schedule(delay, this::step);
            }
        }

        void cancel() {
            mTimer.cancel();
        }

        private void step() {
            if (mClosed) {
                return;
            }
            mGuard.run(mController.name(), mController::step, () -> next(mController.period()));
        }
    }
}
