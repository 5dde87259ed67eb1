package org.amaranthpick.server.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.amaranthpick.core.time.Scheduler;

/** Lets the calls of one kind through at the budgeted rate, by priority. Thread-safe. */
final class CallGate {
    private final Object mLock;
    private final Scheduler mScheduler;
    private final BudgetSettings mSettings;
    private final StoreHealth mHealth;
    private final BudgetCounters mCounters;
    private final DoubleSupplier mCallsPerSecond;
    private final CallBucket mBucket;
    private final Map<StorePriority, Deque<Waiting>> mQueues = new EnumMap<>(StorePriority.class);
    private int mQueued;
    private boolean mDrainPlanned;

    private record Waiting(Runnable run, Consumer<Duration> refuse, long untilNs) {}

    CallGate(
            Object lock,
            Scheduler scheduler,
            BudgetSettings settings,
            StoreHealth health,
            BudgetCounters counters,
            DoubleSupplier callsPerSecond) {
        mLock = lock;
        mScheduler = scheduler;
        mSettings = settings;
        mHealth = health;
        mCounters = counters;
        mCallsPerSecond = callsPerSecond;
        double burstSeconds = settings.burst().toMillis() / 1000.0;
        mBucket =
                new CallBucket(callsPerSecond.getAsDouble(), burstSeconds, scheduler.monotonicNs());
        for (StorePriority priority : StorePriority.values()) {
            mQueues.put(priority, new ArrayDeque<>());
        }
    }

    /**
     * Asks for the right to make one call.
     *
     * @param priority order among those that wait
     * @param run makes the call; run once at most
     * @param refuse told instead, with the time to wait before another try
     */
    void submit(StorePriority priority, Runnable run, Consumer<Duration> refuse) {
        Runnable then;
        synchronized (mLock) {
            then = decide(priority, run, refuse);
        }
        then.run();
    }

    private Runnable decide(StorePriority priority, Runnable run, Consumer<Duration> refuse) {
        refill();
        boolean bounded = priority == StorePriority.COORDINATION;
        if (bounded ? mBucket.borrow() : mQueued == 0 && mBucket.take()) {
            return enterOrRefuse(run, refuse);
        }
        if (mQueued >= mSettings.maxQueued()) {
            return refused(refuse, Duration.ofNanos(mBucket.waitNs(rate())));
        }
        mCounters.countWaited();
        long untilNs = mScheduler.monotonicNs() + mSettings.maxWait().toNanos();
        mQueues.get(priority).addLast(new Waiting(run, refuse, untilNs));
        mQueued++;
        planDrain();
        return () -> {};
    }

    private Runnable enterOrRefuse(Runnable run, Consumer<Duration> refuse) {
        Optional<Duration> pause = mHealth.enter();
        return pause.isEmpty() ? run : refused(refuse, pause.get());
    }

    private Runnable refused(Consumer<Duration> refuse, Duration retryAfter) {
        mCounters.countRefused();
        return () -> refuse.accept(retryAfter);
    }

    private void planDrain() {
        if (mDrainPlanned || mQueued == 0) {
            return;
        }
        mDrainPlanned = true;
        long waitNs = Math.min(mBucket.waitNs(rate()), mSettings.maxWait().toNanos());
        mScheduler.schedule(Duration.ofNanos(waitNs), this::drain);
    }

    private void drain() {
        List<Runnable> ready = new ArrayList<>();
        synchronized (mLock) {
            mDrainPlanned = false;
            refill();
            takeReady(ready);
            planDrain();
        }
        ready.forEach(Runnable::run);
    }

    private void takeReady(List<Runnable> ready) {
        long nowNs = mScheduler.monotonicNs();
        for (Deque<Waiting> queue : mQueues.values()) {
            while (!queue.isEmpty()) {
                Waiting next = queue.peekFirst();
                boolean late = next.untilNs() - nowNs <= 0;
                if (late) {
                    ready.add(refused(next.refuse(), Duration.ofNanos(mBucket.waitNs(rate()))));
                } else if (mBucket.take()) {
                    ready.add(enterOrRefuse(next.run(), next.refuse()));
                } else {
                    break;
                }
                queue.removeFirst();
                mQueued--;
            }
        }
    }

    private void refill() {
        mBucket.refill(mScheduler.monotonicNs(), rate());
        if (mHealth.rate() < 1) {
            mBucket.drain();
        }
    }

    private double rate() {
        return mCallsPerSecond.getAsDouble() * mHealth.rate();
    }
}
