package org.amaranthpick.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.HostSpec;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.LinkSpec;
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
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.VirtualScheduler;

/** Some daemons and simulated engines on virtual time, with a store that can fail. */
final class PlacementFixture {
    static final Duration TICK = Duration.ofMillis(500);
    private static final int RACKS = 3;

    final VirtualScheduler mScheduler = new VirtualScheduler(Instant.parse("2026-03-01T00:00:00Z"));
    final MemoryObjectStore mObjects = new MemoryObjectStore();
    final Invariants mInvariants = new Invariants();
    final List<String> mDecisions = new ArrayList<>();
    final Map<Identity, Daemon> mDaemons = new TreeMap<>();
    final Map<String, Double> mDemand = new HashMap<>();
    final Map<Identity, Long> mHighestFences = new HashMap<>();
    SimulatedEngines mEngines;
    Configuration mConfiguration;
    boolean mObserving = true;
    LinkHealth mLinks = LinkHealth.NONE_DEGRADED;
    PlacementSettings mSettings = PlacementSettings.defaults();

    /** Size of a fixture. */
    record Shape(
            int domains, int daemonsPerDomain, int enginesPerDomain, int models, boolean fencing) {}

    PlacementFixture(Shape shape) {
        this(shape, List.of());
    }

    PlacementFixture(Shape shape, List<UpstreamSpec> extraEngines) {
        mConfiguration = configuration(1, shape, extraEngines);
        WeightStoreSpec store = mConfiguration.manifest().weightStores().get(0);
        mEngines = new SimulatedEngines(mScheduler, mConfiguration, store);
        for (int d = 0; d < shape.domains(); d++) {
            for (int i = 0; i < shape.daemonsPerDomain(); i++) {
                Daemon daemon = new Daemon("d" + d, "host-" + d + "-" + i);
                mDaemons.put(daemon.mSelf.host(), daemon);
            }
        }
        mDaemons.values().forEach(Daemon::start);
    }

    static Configuration configuration(
            long generation, Shape shape, List<UpstreamSpec> extraEngines) {
        List<DomainSpec> domains = new ArrayList<>();
        List<HostSpec> hosts = new ArrayList<>();
        List<LinkSpec> links = new ArrayList<>();
        List<UpstreamSpec> engines = new ArrayList<>(extraEngines);
        for (int d = 0; d < shape.domains(); d++) {
            Identity domain = TestFleets.domain("d" + d);
            domains.add(new DomainSpec(domain, "kl"));
            links.add(
                    new LinkSpec(
                            domain,
                            TestFleets.domain("d" + (d + 1) % shape.domains()),
                            Duration.ofNanos(300_000L * (d + 1)),
                            1_000_000_000));
            for (int e = 0; e < shape.enginesPerDomain(); e++) {
                Identity host =
                        new Identity(TestFleets.FLEET, ResourceKind.HOST, "eh-" + d + "-" + e);
                hosts.add(new HostSpec(host, domain, "r" + e % RACKS));
                engines.add(engine(domain, "e" + d + "-" + e, Optional.of(host), shape.fencing()));
            }
        }
        List<ModelVersionSpec> models = new ArrayList<>();
        List<PipelineSpec> pipelines = new ArrayList<>();
        for (int m = 0; m < shape.models(); m++) {
            ModelVersionSpec model = TestFleets.model("m" + m, 16, TestFleets.GIB);
            models.add(model);
            pipelines.add(pipeline("p" + m, model.id()));
        }
        Manifest manifest =
                new Manifest(
                        List.of(TestFleets.FLEET),
                        domains,
                        links,
                        hosts,
                        List.of(new WeightStoreSpec(TestFleets.FLEET, 4 * TestFleets.GIB, 4)),
                        engines,
                        models,
                        List.of(),
                        pipelines,
                        List.of(),
                        List.of());
        return new Configuration(generation, "digest", manifest);
    }

    static PipelineSpec pipeline(String name, Identity model) {
        Identity id = new Identity(TestFleets.FLEET, ResourceKind.PIPELINE, name);
        return new PipelineSpec(id, model, Optional.empty(), 1);
    }

    static UpstreamSpec engine(
            Identity domain, String name, Optional<Identity> host, boolean fencing) {
        AcceleratorSpec accelerator =
                new AcceleratorSpec("a40", 1, 16 * TestFleets.GIB, 100_000, 16_000, 200_000, 32);
        return new UpstreamSpec(
                TestFleets.engineId(name),
                UpstreamSpec.Role.ENGINE,
                domain,
                host,
                URI.create("http://127.0.0.1:9000"),
                Optional.of(accelerator),
                fencing,
                true,
                List.of());
    }

    /** Changes the configuration of all daemons. */
    void configure(Manifest manifest) {
        mConfiguration = new Configuration(mConfiguration.generation() + 1, "digest", manifest);
    }

    /** Restarts all daemons with other settings. */
    void restartDaemons(PlacementSettings settings) {
        mSettings = settings;
        mDaemons.values().forEach(Daemon::start);
    }

    /** Returns whether every shard has an owner and every engine has reached its target. */
    boolean isSettled() {
        List<ShardStatus> all =
                mDaemons.values().stream()
                        .filter(d -> d.mRunning)
                        .flatMap(d -> d.mService.status().stream())
                        .toList();
        return all.size() == mConfiguration.manifest().domains().size()
                && all.stream().allMatch(s -> s.openOrders() == 0);
    }

    /** Returns whether every domain has a chain of every model. */
    boolean everyDomainHasChains() {
        return mConfiguration.manifest().domains().stream()
                .allMatch(
                        d ->
                                IntStream.range(0, mConfiguration.manifest().modelVersions().size())
                                        .allMatch(m -> throughput(m, d.id().name()) > 0));
    }

    /** Runs all daemons that are not stopped and checks the leases at each tick. */
    void run(Duration time) {
        long ticks = time.dividedBy(TICK);
        for (long i = 0; i < ticks; i++) {
            mScheduler.advance(TICK);
            for (Daemon daemon : mDaemons.values()) {
                if (daemon.mRunning) {
                    if (mObserving) {
                        mEngines.report(daemon.mBoard);
                    }
                    daemon.mService.step();
                }
            }
            checkLeases();
        }
    }

    /** Runs until a condition holds; fails after a time limit. Returns the elapsed time. */
    Duration runUntil(Duration limit, BooleanSupplier condition) {
        long startNs = mScheduler.monotonicNs();
        while (!condition.getAsBoolean()) {
            Duration elapsed = Duration.ofNanos(mScheduler.monotonicNs() - startNs);
            assertTrue(
                    elapsed.compareTo(limit) < 0, "not within " + limit + "\n" + recentDecisions());
            run(TICK);
        }
        return Duration.ofNanos(mScheduler.monotonicNs() - startNs);
    }

    private void checkLeases() {
        Map<Identity, Identity> holders = new HashMap<>();
        for (Daemon daemon : mDaemons.values()) {
            daemon.mService
                    .leases()
                    .forEach(
                            (shard, lease) -> {
                                Identity other = holders.put(shard, daemon.mSelf.host());
                                assertTrue(other == null, shard + " has two owners");
                                long before = mHighestFences.getOrDefault(shard, 0L);
                                assertTrue(lease.fence() >= before, shard + " fence decreased");
                                mHighestFences.put(shard, lease.fence());
                            });
        }
        assertEquals(0, mInvariants.total());
    }

    Daemon owner(String domain) {
        Identity shard = TestFleets.domain(domain);
        return mDaemons.values().stream()
                .filter(d -> d.mService.leases().containsKey(shard))
                .findFirst()
                .orElseThrow();
    }

    long fence(String domain) {
        return mHighestFences.getOrDefault(TestFleets.domain(domain), 0L);
    }

    ModelVersionSpec model(int number) {
        return mConfiguration.manifest().modelVersions().get(number);
    }

    /** Returns the throughput of a model within one domain, in tokens per second. */
    double throughput(int model, String domain) {
        Identity id = TestFleets.domain(domain);
        return MaxFlowBound.tokensPerSecond(
                model(model), views().stream().filter(e -> e.domain().equals(id)).toList());
    }

    double throughput(int model) {
        return MaxFlowBound.tokensPerSecond(model(model), views());
    }

    private List<EngineView> views() {
        List<EngineView> views = new ArrayList<>();
        for (SimulatedEngine engine : mEngines.engines()) {
            AcceleratorSpec accelerator = engine.spec().accelerator().orElseThrow();
            views.add(
                    new EngineView(
                            engine.spec().id(),
                            engine.spec().domain(),
                            "",
                            accelerator.memoryBytes(),
                            accelerator.decodeLayerTokensPerSecond(),
                            engine.alive(),
                            engine.holdings()));
        }
        return views;
    }

    String recentDecisions() {
        int from = Math.max(0, mDecisions.size() - 40);
        return String.join("\n", mDecisions.subList(from, mDecisions.size()));
    }

    /**
     * Daemon with its own blackboard and store connection; also its view of the members and its
     * peer network.
     */
    final class Daemon implements MemberView, PeerNetwork {
        final Member mSelf;
        final Blackboard mBoard = new Blackboard();
        final FaultyStore mStore = new FaultyStore(mObjects, mScheduler);
        final Map<Integer, PeerHandler> mHandlers = new HashMap<>();
        PlacementContext mContext;
        PlacementService mService;
        boolean mRunning = true;
        boolean mMember = true;
        int mBoot;

        Daemon(String domain, String host) {
            mSelf =
                    new Member(
                            new Identity(TestFleets.FLEET, ResourceKind.HOST, host),
                            new PeerAddress("127.0.0.1", 9000),
                            TestFleets.domain(domain),
                            "kl",
                            1,
                            MemberState.ALIVE);
        }

        void start() {
            Random random = new Random(mSelf.host().name().hashCode() + mBoot);
            mContext =
                    new PlacementContext(
                            mStore,
                            mEngines,
                            () -> Optional.of(mConfiguration),
                            mBoard,
                            this,
                            this,
                            mScheduler,
                            new WriterTokens(mSelf.host().key(), ++mBoot),
                            (kind, subject, text) ->
                                    mDecisions.add(kind.label() + " " + subject + " " + text),
                            mInvariants,
                            random,
                            mSettings);
            PlacementPolicy policy =
                    new PlacementPolicy(
                            new LayerTreePlanner(),
                            id -> mDemand.getOrDefault(id.name(), 100.0),
                            (from, to) -> mLinks.isDegraded(from, to));
            mService = new PlacementService(mContext, policy);
        }

        /**
         * Stops the daemon without a release of its leases; the other daemons see that it is no
         * longer a member.
         */
        void crash() {
            mRunning = false;
            mMember = false;
        }

        @Override
        public Member self() {
            return mSelf;
        }

        @Override
        public List<Member> members() {
            return mDaemons.values().stream().filter(d -> d.mMember).map(d -> d.mSelf).toList();
        }

        @Override
        public Optional<Member> member(Identity host) {
            return members().stream().filter(m -> m.host().equals(host)).findFirst();
        }

        @Override
        public void send(Identity to, PeerMessage message) {
            Daemon receiver = mDaemons.get(to);
            mScheduler.schedule(
                    Duration.ofMillis(1),
                    () -> {
                        if (receiver.mRunning) {
                            receiver.mHandlers.get(message.tag()).onMessage(mSelf.host(), message);
                        }
                    });
        }

        @Override
        public void handle(int tag, PeerHandler handler) {
            mHandlers.put(tag, handler);
        }
    }

    /** Returns a holding of a model version. */
    static UpstreamSpec.Holding holding(ModelVersionSpec model, int from, int to) {
        return new UpstreamSpec.Holding(model.id(), new LayerRange(from, to), List.of());
    }
}
