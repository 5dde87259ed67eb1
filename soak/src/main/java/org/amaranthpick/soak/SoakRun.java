package org.amaranthpick.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import org.amaranthpick.platform.standin.ReceivedResponse;

/**
 * Plays one seed: a daemon leaves while nothing else is wrong, then faults overlap, then all is
 * healed and every daemon must serve again. Callers ask all the while.
 */
public final class SoakRun {
    private static final int USUAL_CALLERS = 6;
    private static final Duration DEADLINE = Duration.ofSeconds(4);
    private static final Duration PLANNED_DEADLINE = Duration.ofSeconds(7);
    private static final Duration TO_READY = Duration.ofSeconds(25);

    /** Time in which daemons serve again once the faults are over. */
    private static final Duration RECOVERY = Duration.ofSeconds(12);

    private static final Duration CALM = Duration.ofMillis(600);
    private static final Duration LAST_RUNS = Duration.ofMillis(500);
    private static final Duration POLL = Duration.ofMillis(50);

    /** Start of the ids of the requests that show recovery, which are not judged. */
    private static final String RECOVERY_ID = "recovered-";

    private final FaultScene mScene;
    private final long mSeed;
    private final Path mDirectory;
    private final Duration mFaults;
    private final int mCount;
    private final List<String> mBroken = new ArrayList<>();
    private volatile boolean mCalm = true;

    /**
     * Creates a run.
     *
     * @param scene kinds of faults
     * @param seed seed of the plan and the callers
     * @param directory directory for settings and logs
     * @param faults time in which faults begin
     * @param count number of faults
     */
    public SoakRun(FaultScene scene, long seed, Path directory, Duration faults, int count) {
        mScene = scene;
        mSeed = seed;
        mDirectory = directory;
        mFaults = faults;
        mCount = count;
    }

    /**
     * Plays the seed.
     *
     * @return what was seen
     * @throws IOException if a process or a socket cannot be made
     * @throws InterruptedException if interrupted
     */
    public SoakResult play() throws IOException, InterruptedException {
        try (SoakSite site = new SoakSite(mSeed, mDirectory, mScene.events())) {
            awaitReady(site, TO_READY, "start");
            SplittableRandom random = new SplittableRandom(mSeed);
            List<CallerLoop> callers = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            List<CallerHabit> habits = habits();
            for (int i = 0; i < habits.size(); i++) {
                CallerLoop caller =
                        new CallerLoop(
                                site,
                                i,
                                habits.get(i),
                                mScene == FaultScene.PLANNED ? PLANNED_DEADLINE : DEADLINE,
                                random.split(),
                                () -> mCalm);
                callers.add(caller);
                threads.add(new Thread(caller, "caller-" + i));
            }
            ConfigurationWatch watch = new ConfigurationWatch(site);
            threads.add(new Thread(watch, "configuration"));
            threads.forEach(Thread::start);
            playFaults(site);
            callers.forEach(CallerLoop::stop);
            watch.stop();
            for (Thread thread : threads) {
                thread.join();
            }
            LockSupport.parkNanos(LAST_RUNS.toNanos());
            return judge(site, callers, watch);
        }
    }

    /** The usual callers first, then one of each other habit. */
    private static List<CallerHabit> habits() {
        List<CallerHabit> habits =
                new ArrayList<>(Collections.nCopies(USUAL_CALLERS, CallerHabit.USUAL));
        for (CallerHabit habit : CallerHabit.values()) {
            if (habit != CallerHabit.USUAL) {
                habits.add(habit);
            }
        }
        return habits;
    }

    private void playFaults(SoakSite site) throws IOException, InterruptedException {
        LockSupport.parkNanos(CALM.toNanos());
        site.daemon((int) (mSeed % SoakSite.DAEMONS)).restart(true);
        awaitReady(site, TO_READY, "return of a host that left");
        mCalm = false;
        new FaultPlayer(site).play(FaultPlan.draw(mScene, mSeed, mFaults, mCount));
        site.heal();
        awaitReady(site, RECOVERY, "end of the faults");
        awaitService(site);
    }

    private void awaitReady(SoakSite site, Duration limit, String after) {
        long endNs = System.nanoTime() + limit.toNanos();
        for (DaemonProcess daemon : site.daemons()) {
            while (!site.ready(daemon)) {
                if (System.nanoTime() > endNs) {
                    mBroken.add(
                            daemon.callers() + " is not ready " + limit + " after the " + after);
                    return;
                }
                LockSupport.parkNanos(POLL.toNanos());
            }
        }
    }

    private void awaitService(SoakSite site) {
        long endNs = System.nanoTime() + RECOVERY.toNanos();
        int asked = 0;
        for (DaemonProcess daemon : site.daemons()) {
            while (!site.serves(daemon, RECOVERY_ID + asked++)) {
                if (System.nanoTime() > endNs) {
                    mBroken.add(daemon.callers() + " does not serve after the faults");
                    return;
                }
                LockSupport.parkNanos(POLL.toNanos());
            }
        }
    }

    private SoakResult judge(SoakSite site, List<CallerLoop> callers, ConfigurationWatch watch)
            throws IOException {
        Set<String> logged = new HashSet<>();
        for (DaemonProcess daemon : site.daemons()) {
            DaemonLog log = daemon.log();
            logged.addAll(log.ids());
            mBroken.addAll(log.broken());
            if (daemon.ownEnds() > 0) {
                mBroken.add(daemon.callers() + " ended by itself");
            }
        }
        List<CallRecord> calls = new ArrayList<>();
        callers.forEach(caller -> calls.addAll(caller.calls()));
        Map<String, Integer> runs = site.runs();
        runs.keySet().removeIf(id -> id.startsWith(RECOVERY_ID));
        watch.ids().forEach(runs::remove);
        mBroken.addAll(new PromiseCheck(mScene.events(), logged).broken(calls, runs));
        mBroken.addAll(watch.broken());
        return new SoakResult(
                mSeed,
                calls.size(),
                calls.stream().map(CallRecord::answer).filter(SoakRun::answered).count(),
                calls.stream().filter(call -> call.answer().isNotRunStatus()).count(),
                calls.stream().filter(call -> call.answer().status() == 0).count(),
                mBroken);
    }

    private static boolean answered(ReceivedResponse answer) {
        return answer.isSuccess() && answer.complete();
    }
}
