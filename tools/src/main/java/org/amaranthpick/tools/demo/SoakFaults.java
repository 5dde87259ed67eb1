package org.amaranthpick.tools.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.server.daemon.Daemon;
import org.amaranthpick.standins.EngineStandIn;

/** Breaks and mends stand-ins at random. One engine of each half of the layers always works. */
final class SoakFaults {
    private static final Duration MAX_PAUSE = Duration.ofMillis(1_500);
    private static final Duration MAX_FAULT = Duration.ofMillis(2_500);

    private final DemoPlatform mPlatform;
    private final DemoDaemons mDaemons;
    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final SoakTally mTally;
    private volatile boolean mStopped;

    SoakFaults(
            DemoPlatform platform,
            DemoDaemons daemons,
            Scheduler scheduler,
            RandomGenerator random,
            SoakTally tally) {
        mPlatform = platform;
        mDaemons = daemons;
        mScheduler = scheduler;
        mRandom = random;
        mTally = tally;
    }

    void start() {
        mScheduler.schedule(upTo(MAX_PAUSE), this::next);
    }

    void stop() {
        mStopped = true;
    }

    private void next() {
        if (mStopped) {
            return;
        }
        DemoFleet fleet = mPlatform.fleets().get(mRandom.nextInt(mPlatform.fleets().size()));
        List<EngineStandIn> engines = new ArrayList<>(fleet.engines().values());
        // Engines 0 and 1 stay; 2 and 3 are their replicas.
        EngineStandIn replica = engines.get(2 + mRandom.nextInt(2));
        EngineStandIn any = engines.get(mRandom.nextInt(engines.size()));
        switch (mRandom.nextInt(9)) {
            case 0 -> fault("engine dies", replica::die, replica::revive);
            case 1 -> fault("engine connections close", any::closeConnections, () -> {});
            case 2 -> fault("engine connections go silent", replica::silenceConnections, () -> {});
            case 3 -> toggleEngine("engine doubles tokens", any);
            case 4 ->
                    fault(
                            "store is out",
                            () -> mPlatform.store().faults().mOutage = true,
                            () -> mPlatform.store().faults().mOutage = false);
            case 5 ->
                    fault(
                            "store loses answers",
                            () -> mPlatform.store().faults().mLoseAnswers.set(2),
                            () -> {});
            case 6 ->
                    fault(
                            "service loses answers",
                            () -> fleet.service().mDropAnswer = true,
                            () -> fleet.service().mDropAnswer = false);
            case 7 -> restartDaemon(mRandom.nextInt(mDaemons.all().size()));
            default ->
                    fault(
                            "engine drops requests unrun",
                            () -> replica.faults().mDropUnrun = true,
                            () -> replica.faults().mDropUnrun = false);
        }
        mScheduler.schedule(upTo(MAX_PAUSE), this::next);
    }

    private void restartDaemon(int index) {
        mTally.count("fault: daemon restarts");
        checkInvariants(mDaemons.all().get(index));
        Thread thread = new Thread(() -> mDaemons.restart(index), "soak-restart");
        thread.start();
    }

    /** Takes the violations of a daemon into the tally. */
    void checkInvariants(Daemon daemon) {
        if (daemon.invariantViolations() > 0) {
            mTally.breach("invariants violated in a daemon: " + daemon.invariantViolations());
        }
    }

    private void toggleEngine(String what, EngineStandIn engine) {
        fault(
                what,
                () -> engine.faults().mDuplicate = true,
                () -> engine.faults().mDuplicate = false);
    }

    private void fault(String what, Runnable begin, Runnable end) {
        mTally.count("fault: " + what);
        begin.run();
        mScheduler.schedule(upTo(MAX_FAULT), end);
    }

    private Duration upTo(Duration longest) {
        return Duration.ofMillis(1 + mRandom.nextLong(longest.toMillis()));
    }
}
