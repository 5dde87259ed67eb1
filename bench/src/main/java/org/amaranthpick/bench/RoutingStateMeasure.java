package org.amaranthpick.bench;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.amaranthpick.bench.wave.WaveFleet;
import org.amaranthpick.core.admit.LocalLimits;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.observe.PrefixIndex;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.core.upstream.UpstreamStatus;

/** Prints the heap taken per observed upstream, per prefix and per workspace with limits in use. */
public final class RoutingStateMeasure {
    private static final Instant ORIGIN = Instant.parse("2026-01-04T18:00:00Z");
    private static final int UPSTREAMS = 2_500;
    private static final int PREFIXES = 50_000;
    private static final int WORKSPACES = 1_400;

    private final List<Object> mKept = new ArrayList<>();

    private RoutingStateMeasure() {}

    /**
     * Runs the measurement.
     *
     * @param args unused
     */
    public static void main(String[] args) {
        Logger.getLogger("").setLevel(Level.WARNING);
        RoutingStateMeasure measure = new RoutingStateMeasure();
        Configuration configuration = WaveFleet.build(10, UPSTREAMS);
        print("observed upstream", UPSTREAMS, measure.grown(() -> board(configuration)));
        print("prefix, one holder", PREFIXES, measure.grown(() -> prefixes(configuration)));
        print("workspace in limits", WORKSPACES, measure.grown(RoutingStateMeasure::limits));
    }

    private static void print(String what, int count, long bytes) {
        System.out.printf(
                Locale.ROOT, "%-20s %7d  %8.1f bytes each%n", what, count, bytes / (double) count);
    }

    private long grown(Supplier<Object> maker) {
        long before = used();
        mKept.add(maker.get());
        return used() - before;
    }

    @SuppressWarnings("SystemGc")
    private static long used() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static Object board(Configuration configuration) {
        Blackboard board = new Blackboard();
        for (UpstreamSpec spec : configuration.manifest().upstreams()) {
            List<UpstreamSpec.Holding> holdings = new ArrayList<>();
            for (UpstreamSpec.Holding held : spec.initialHoldings()) {
                holdings.add(
                        new UpstreamSpec.Holding(
                                held.modelVersion(), held.layers(), held.adapters()));
            }
            UpstreamStatus status =
                    new UpstreamStatus(
                            "boot-" + spec.id().name(),
                            0,
                            false,
                            holdings,
                            8,
                            2_000,
                            1L << 30,
                            Optional.of(3L),
                            0);
            board.upstreams()
                    .put(
                            spec.id(),
                            new UpstreamObservation(
                                    spec.id(),
                                    status,
                                    ORIGIN,
                                    UpstreamObservation.Reachability.REACHABLE));
        }
        return board;
    }

    private static Object prefixes(Configuration configuration) {
        PrefixIndex index = new PrefixIndex(PREFIXES);
        SplittableRandom random = new SplittableRandom(1);
        List<UpstreamSpec> upstreams = configuration.manifest().upstreams();
        for (int i = 0; i < PREFIXES; i++) {
            Identity upstream = upstreams.get(random.nextInt(upstreams.size())).id();
            index.recordStored(upstream, List.of(random.nextLong()), true);
        }
        return index;
    }

    private static Object limits() {
        LocalLimits limits = new LocalLimits(new VirtualScheduler(ORIGIN));
        for (int i = 0; i < WORKSPACES; i++) {
            limits.tryStart(
                    new WorkspaceSpec(
                            new Identity("kenanga", ResourceKind.WORKSPACE, "w" + i),
                            List.of(),
                            new WorkspaceSpec.Limits(10, 10_000, 10),
                            1,
                            List.of(),
                            List.of()),
                    100);
        }
        return limits;
    }
}
