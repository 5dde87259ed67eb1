package org.amaranthpick.bench;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.HostSpec;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.PipelineSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.manifest.WeightStoreSpec;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberState;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.peer.PeerHandler;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.placement.EngineView;
import org.amaranthpick.core.placement.LayerTreePlanner;
import org.amaranthpick.core.placement.LinkHealth;
import org.amaranthpick.core.placement.MaxFlowBound;
import org.amaranthpick.core.placement.PlacementContext;
import org.amaranthpick.core.placement.PlacementPolicy;
import org.amaranthpick.core.placement.PlacementService;
import org.amaranthpick.core.placement.PlacementSettings;
import org.amaranthpick.core.placement.ShardStatus;
import org.amaranthpick.core.placement.SimulatedEngine;
import org.amaranthpick.core.placement.SimulatedEngines;
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.VirtualScheduler;

/** Placement services of some daemons with engines in memory, on virtual time. */
final class PlacementFleet {
    private static final String FLEET = "fleet";
    private static final long GIB = 1L << 30;
    private static final Duration TICK = Duration.ofMillis(500);
    private static final int RACKS = 8;
    private static final double DEMAND_TOKENS_PER_SECOND = 20_000;

    final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    final CountingStore mStore = new CountingStore(new MemoryObjectStore());
    final Blackboard mBoard = new Blackboard();
    final Invariants mInvariants = new Invariants();
    final Configuration mConfiguration;
    final SimulatedEngines mEngines;
    private final List<Member> mMembers = new ArrayList<>();
    private final List<PlacementService> mServices = new ArrayList<>();
    private final Map<Identity, Map<Integer, PeerHandler>> mHandlers = new HashMap<>();
    private long mMessages;
    private long mStepNanos;

    /**
     * Sizes of a fleet.
     *
     * @param domains failure domains
     * @param daemons daemons in all
     * @param engines engines in all
     * @param models model versions
     * @param layerWeightBytes weights of one layer
     * @param store weight store
     */
    record Sizes(
            int domains,
            int daemons,
            int engines,
            int models,
            long layerWeightBytes,
            WeightStoreSpec store) {}

    PlacementFleet(Sizes sizes) {
        mConfiguration = configuration(sizes);
        mEngines = new SimulatedEngines(mScheduler, mConfiguration, sizes.store());
        for (int i = 0; i < sizes.daemons(); i++) {
            mMembers.add(member(i, sizes.domains()));
        }
        mMembers.forEach(member -> mServices.add(service(member)));
    }

    /** Returns a weight store. */
    static WeightStoreSpec weightStore(double gibPerSecond, int loads) {
        return new WeightStoreSpec(FLEET, (long) (gibPerSecond * GIB), loads);
    }

    private static Identity id(ResourceKind kind, String name) {
        return new Identity(FLEET, kind, name);
    }

    private static Member member(int number, int domains) {
        return new Member(
                id(ResourceKind.HOST, "daemon" + number),
                new PeerAddress("127.0.0.1", 9000),
                id(ResourceKind.DOMAIN, "d" + number % domains),
                "region",
                1,
                MemberState.ALIVE);
    }

    static Configuration configuration(Sizes sizes) {
        List<DomainSpec> domains = new ArrayList<>();
        for (int d = 0; d < sizes.domains(); d++) {
            domains.add(new DomainSpec(id(ResourceKind.DOMAIN, "d" + d), "region"));
        }
        List<HostSpec> hosts = new ArrayList<>();
        List<UpstreamSpec> engines = new ArrayList<>();
        for (int e = 0; e < sizes.engines(); e++) {
            Identity domain = domains.get(e % sizes.domains()).id();
            int local = e / sizes.domains();
            Identity host = id(ResourceKind.HOST, "engine-host" + e);
            hosts.add(new HostSpec(host, domain, "rack" + local % RACKS));
            engines.add(engine(e, local, domain, host));
        }
        List<ModelVersionSpec> models = new ArrayList<>();
        List<PipelineSpec> pipelines = new ArrayList<>();
        for (int m = 0; m < sizes.models(); m++) {
            Identity model = id(ResourceKind.MODEL_VERSION, "m" + m);
            int layers = 32 + 16 * (m % 3);
            models.add(
                    new ModelVersionSpec(model, layers, sizes.layerWeightBytes(), 16_384, 4_096));
            Identity pipeline = id(ResourceKind.PIPELINE, "p" + m);
            pipelines.add(new PipelineSpec(pipeline, model, Optional.empty(), 1));
        }
        Manifest manifest =
                new Manifest(
                        List.of(FLEET),
                        domains,
                        List.of(),
                        hosts,
                        List.of(sizes.store()),
                        engines,
                        models,
                        List.of(),
                        pipelines,
                        List.of(),
                        List.of());
        return new Configuration(1, "digest", manifest);
    }

    private static UpstreamSpec engine(int number, int local, Identity domain, Identity host) {
        long[] memoryGib = {24, 48, 80, 48, 96};
        long gib = memoryGib[local % memoryGib.length];
        AcceleratorSpec accelerator =
                new AcceleratorSpec(
                        "kind" + local % memoryGib.length,
                        4,
                        gib * GIB,
                        gib * 20_000,
                        gib * 1_000,
                        200_000,
                        64);
        return new UpstreamSpec(
                id(ResourceKind.UPSTREAM, "e" + number),
                UpstreamSpec.Role.ENGINE,
                domain,
                Optional.of(host),
                URI.create("http://127.0.0.1:9000"),
                Optional.of(accelerator),
                true,
                true,
                List.of());
    }

    private PlacementService service(Member self) {
        int number = mServices.size();
        PlacementContext context =
                new PlacementContext(
                        mStore,
                        mEngines,
                        () -> Optional.of(mConfiguration),
                        mBoard,
                        new Members(self),
                        new Peers(self.host()),
                        mScheduler,
                        new WriterTokens(self.host().key(), number),
                        (kind, subject, text) -> {},
                        mInvariants,
                        new SplittableRandom(number),
                        PlacementSettings.defaults());
        PlacementPolicy policy =
                new PlacementPolicy(
                        new LayerTreePlanner(),
                        model -> DEMAND_TOKENS_PER_SECOND,
                        LinkHealth.NONE_DEGRADED);
        return new PlacementService(context, policy);
    }

    /** Runs for a time. */
    void run(Duration time) {
        for (long i = time.dividedBy(TICK); i > 0; i--) {
            mScheduler.advance(TICK);
            mEngines.report(mBoard);
            long startNs = System.nanoTime();
            mServices.forEach(PlacementService::step);
            mStepNanos += System.nanoTime() - startNs;
        }
    }

    /** Runs until every shard is owned and every engine is as wanted. */
    Duration runUntilQuiet() {
        long startNs = mScheduler.monotonicNs();
        do {
            run(TICK);
        } while (!quiet());
        return Duration.ofNanos(mScheduler.monotonicNs() - startNs);
    }

    /** Tells whether every shard is owned and every engine is as wanted. */
    boolean quiet() {
        List<ShardStatus> all = mServices.stream().flatMap(s -> s.status().stream()).toList();
        return all.size() == mConfiguration.manifest().domains().size()
                && all.stream().allMatch(s -> s.openOrders() == 0);
    }

    /** Returns the number of peer messages sent. */
    long messages() {
        return mMessages;
    }

    /** Returns the processor time of all steps, in nanoseconds. */
    long stepNanos() {
        return mStepNanos;
    }

    /** Returns the engines with what they hold. */
    List<EngineView> views() {
        List<EngineView> views = new ArrayList<>();
        Map<Identity, String> racks = new HashMap<>();
        mConfiguration.manifest().hosts().forEach(h -> racks.put(h.id(), h.rack()));
        for (SimulatedEngine engine : mEngines.engines()) {
            AcceleratorSpec accelerator = engine.spec().accelerator().orElseThrow();
            views.add(
                    new EngineView(
                            engine.spec().id(),
                            engine.spec().domain(),
                            racks.get(engine.spec().host().orElseThrow()),
                            accelerator.memoryBytes(),
                            accelerator.decodeLayerTokensPerSecond(),
                            engine.alive(),
                            engine.holdings()));
        }
        return views;
    }

    /** Returns the throughput of all models, each up to its demand, in tokens per second. */
    double throughput() {
        List<EngineView> views = views();
        return mConfiguration.manifest().modelVersions().stream()
                .mapToDouble(model -> MaxFlowBound.tokensPerSecond(model, views))
                .sum();
    }

    private final class Members implements MemberView {
        private final Member mSelf;

        Members(Member self) {
            mSelf = self;
        }

        @Override
        public Member self() {
            return mSelf;
        }

        @Override
        public List<Member> members() {
            return mMembers;
        }

        @Override
        public Optional<Member> member(Identity host) {
            return mMembers.stream().filter(m -> m.host().equals(host)).findFirst();
        }
    }

    private final class Peers implements PeerNetwork {
        private final Identity mSelf;

        Peers(Identity self) {
            mSelf = self;
        }

        @Override
        public void send(Identity to, PeerMessage message) {
            mMessages++;
            mScheduler.schedule(
                    Duration.ofMillis(1),
                    () -> mHandlers.get(to).get(message.tag()).onMessage(mSelf, message));
        }

        @Override
        public void handle(int tag, PeerHandler handler) {
            mHandlers.computeIfAbsent(mSelf, h -> new HashMap<>()).put(tag, handler);
        }
    }
}
