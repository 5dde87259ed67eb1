package org.amaranthpick.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.bench.wave.WaveFleet;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.observe.PrefixIndex;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.retry.OutlierEjection;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.ChainDecision;
import org.amaranthpick.core.route.ChainRequest;
import org.amaranthpick.core.route.PrefixHasher;
import org.amaranthpick.core.route.Routing;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.core.upstream.UpstreamStatus;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Cost of choosing a chain, of repairing one and of recomputing the flow plan. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ChainChoiceBenchmark {
    private static final Instant ORIGIN = Instant.parse("2026-01-04T18:00:00Z");
    private static final int DOMAINS = 10;
    private static final int PROMPTS = 64;

    /** Upstreams, all of one model version. */
    @Param({"40", "250", "1000", "2500"})
    public int upstreams;

    private final Blackboard mBoard = new Blackboard();
    private final VirtualScheduler mScheduler = new VirtualScheduler(ORIGIN);
    private final List<ChainRequest> mRequests = new ArrayList<>();
    private final List<ChainRequest> mRepairs = new ArrayList<>();
    private Configuration mConfiguration;
    private Routing mRouting;
    private int mNext;
    private boolean mLeaving;

    /** Builds the fleet, a plan and requests with and without shared prefixes. */
    @Setup(Level.Trial)
    public void build() {
        java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.WARNING);
        mConfiguration = WaveFleet.build(Math.min(DOMAINS, upstreams / 6), upstreams);
        mConfiguration.manifest().upstreams().forEach(spec -> observe(spec, false));
        mRouting =
                new Routing(
                        new Routing.Context(
                                mConfiguration.manifest().domains().get(0).id(),
                                mBoard,
                                () -> Optional.of(mConfiguration),
                                mScheduler,
                                7,
                                new Invariants()),
                        new NoEjection(),
                        id -> 1,
                        new PrefixIndex(50_000));
        mRouting.controllers().forEach(Controller::step);
        for (int i = 0; i < PROMPTS; i++) {
            mRequests.add(request(i, Optional.empty(), Set.of()));
        }
        for (ChainRequest request : mRequests) {
            if (mRouting.chainChooser().choose(request) instanceof ChainDecision.Chosen chosen) {
                Chain chain = chosen.chain();
                mRouting.feedback().onSent(chain, 100);
                Identity lost = chain.hops().get(0).upstream();
                mRepairs.add(request(mRepairs.size(), Optional.of(chain), Set.of(lost)));
            }
        }
    }

    /**
     * Chooses a chain for a prompt of 2,000 tokens.
     *
     * @return decision
     */
    @Benchmark
    public ChainDecision choose() {
        return mRouting.chainChooser().choose(mRequests.get(mNext++ % PROMPTS));
    }

    /**
     * Repairs a chain that lost its first stage.
     *
     * @return decision
     */
    @Benchmark
    public ChainDecision repair() {
        return mRouting.chainChooser().choose(mRepairs.get(mNext++ % mRepairs.size()));
    }

    /** Recomputes the flow plan after one engine left or came back. */
    @Benchmark
    public void recomputePlan() {
        mLeaving = !mLeaving;
        observe(mConfiguration.manifest().upstreams().get(0), mLeaving);
        mRouting.controllers().get(0).step();
    }

    /** Looks for changes and finds none. */
    @Benchmark
    public void checkPlan() {
        mRouting.controllers().get(0).step();
    }

    private void observe(UpstreamSpec spec, boolean leaving) {
        UpstreamStatus status =
                new UpstreamStatus(
                        "boot",
                        0,
                        leaving,
                        spec.initialHoldings(),
                        8,
                        2_000,
                        1L << 30,
                        Optional.empty(),
                        0);
        mBoard.upstreams()
                .put(
                        spec.id(),
                        new UpstreamObservation(
                                spec.id(),
                                status,
                                ORIGIN,
                                UpstreamObservation.Reachability.REACHABLE));
    }

    private ChainRequest request(int index, Optional<Chain> previous, Set<Identity> excluded) {
        Identity workspace = new Identity("kenanga", ResourceKind.WORKSPACE, "w" + index % 8);
        List<Long> hashes =
                PrefixHasher.hashes(
                        workspace,
                        WaveFleet.MODEL.id(),
                        Optional.empty(),
                        ("lesson plan of week " + index).repeat(400));
        return new ChainRequest(
                "r" + index,
                mConfiguration,
                WaveFleet.MODEL,
                Optional.empty(),
                2_000,
                previous.isPresent() ? 50 : 0,
                300,
                hashes,
                excluded,
                previous,
                Optional.<Duration>empty());
    }

    /** Ejection that never ejects. */
    private static final class NoEjection implements OutlierEjection {
        @Override
        public void onSuccess(Identity upstream) {}

        @Override
        public void onFailure(Identity upstream, String reason) {}

        @Override
        public boolean ejected(Identity upstream) {
            return false;
        }
    }
}
