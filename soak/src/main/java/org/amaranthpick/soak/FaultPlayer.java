package org.amaranthpick.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.amaranthpick.platform.standin.EngineStandIn;
import org.amaranthpick.platform.standin.MetadataStoreStandIn;
import org.amaranthpick.platform.standin.StandInPlatform;

/** Plays the faults of a plan, each on a thread of its own, so that they overlap. */
final class FaultPlayer {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final long END_S = 60;
    private static final int STORE_CALLS = 6;
    private static final int SHORTEST_CHANGE_MS = 200;
    private static final int LONGEST_CHANGE_MS = 1000;
    private static final List<EngineStandIn.Fault> SERVICE_FAULTS =
            List.of(
                    EngineStandIn.Fault.SHED,
                    EngineStandIn.Fault.RESET,
                    EngineStandIn.Fault.ERROR,
                    EngineStandIn.Fault.FOREIGN);

    private final SoakSite mSite;

    FaultPlayer(SoakSite site) {
        mSite = site;
    }

    /** Plays a plan to its end. */
    void play(List<PlannedFault> plan) throws InterruptedException {
        ExecutorService threads = Executors.newCachedThreadPool();
        long startNs = System.nanoTime();
        for (PlannedFault fault : plan) {
            threads.execute(
                    () -> {
                        pause(fault.at().minusNanos(System.nanoTime() - startNs));
                        playLogged(fault);
                    });
        }
        threads.shutdown();
        if (!threads.awaitTermination(END_S, TimeUnit.SECONDS)) {
            throw new IllegalStateException("faults are not over after " + END_S + " s");
        }
    }

    private void playLogged(PlannedFault fault) {
        sLogger.atFine().log("fault: %s", fault);
        boolean disturbs = FaultScene.mayBreakStreams(fault.kind());
        if (disturbs) {
            mSite.disturbances().begin();
        }
        try {
            play(fault);
            if (disturbs && fault.kind() != FaultKind.STREAM_BREAKS) {
                mSite.disturbances().end();
            }
        } catch (IOException e) {
            throw new IllegalStateException("fault " + fault + " cannot be played", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void play(PlannedFault fault) throws IOException, InterruptedException {
        int target = fault.target();
        DaemonProcess daemon = mSite.daemon(target);
        StandInPlatform platform = mSite.platform();
        switch (fault.kind()) {
            case FREEZE -> {
                daemon.freeze(true);
                pause(fault.length());
                daemon.freeze(false);
            }
            case KILL -> daemon.restart(false);
            case TERM -> daemon.restart(true);
            case LINK_DELAY -> harm(fault, LinkHarm.DELAY);
            case LINK_SILENCE -> harm(fault, LinkHarm.SILENCE);
            case LINK_ONE_WAY -> harm(fault, LinkHarm.ONE_WAY);
            case LINK_RESET -> harm(fault, LinkHarm.RESET);
            case STORE_BUSY -> platform.store().failNext(503, STORE_CALLS);
            case STORE_COMPACT -> platform.store().compact();
            case STORE_RESTORE -> {
                MetadataStoreStandIn.Copy copy = platform.store().copy();
                pause(fault.length());
                platform.store().restoreAndRewrite(copy, List.of("config", "servers"));
            }
            case ENGINE_LEAVES -> {
                int engine = target % SoakSite.ENGINES;
                platform.registerEngine(engine, "draining", StandInPlatform.LAYERS);
                pause(fault.length());
                platform.registerEngine(engine, "ready", StandInPlatform.LAYERS);
            }
            case STREAM_BREAKS ->
                    platform.engine(target % SoakSite.ENGINES)
                            .breakNextStreamAfter(target % SERVICE_FAULTS.size());
            case ENGINE_PAUSES -> EnginePause.of(fault).play(mSite);
            case CONFIG_CHANGES -> changeConfiguration(fault);
            case TERM_SERIES -> {
                for (int i = 0; i < SoakSite.DAEMONS; i++) {
                    mSite.daemon(target + i).restart(true);
                }
            }
            default -> {
                // SERVICE_FAULT, the last of the kinds.
                platform.service().setFault(SERVICE_FAULTS.get(target % SERVICE_FAULTS.size()));
                pause(fault.length());
                platform.service().setFault(EngineStandIn.Fault.NONE);
            }
        }
    }

    /** Makes changes of all kinds, beginning with that of the target, every 0.2 to 1 s. */
    private void changeConfiguration(PlannedFault fault) {
        ConfigurationChange[] kinds = ConfigurationChange.values();
        SplittableRandom random = new SplittableRandom(fault.target());
        for (int i = 0; i < kinds.length; i++) {
            mSite.configuration().toggle(kinds[(fault.target() + i) % kinds.length]);
            pause(Duration.ofMillis(random.nextInt(SHORTEST_CHANGE_MS, LONGEST_CHANGE_MS)));
        }
    }

    private void harm(PlannedFault fault, LinkHarm harm) {
        LoopbackProxy link = mSite.link(fault.target());
        link.harm(harm);
        pause(fault.length());
        link.harm(LinkHarm.NONE);
    }

    private static void pause(Duration duration) {
        LockSupport.parkNanos(duration.toNanos());
    }
}
