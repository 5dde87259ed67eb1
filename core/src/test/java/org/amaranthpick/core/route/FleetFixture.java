package org.amaranthpick.core.route;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.LinkSpec;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.PipelineSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.observe.UpstreamObservation.Reachability;
import org.amaranthpick.core.upstream.UpstreamStatus;

/** Builds configurations and observations of small fleets for tests. */
public final class FleetFixture {
    /** Start of virtual time. */
    public static final Instant ORIGIN = Instant.parse("2026-01-04T18:00:00Z");

    /** Model version of 40 layers. */
    public static final ModelVersionSpec MODEL =
            new ModelVersionSpec(id(ResourceKind.MODEL_VERSION, "planner-7"), 40, 1, 8_192, 1_000);

    private final Blackboard mBoard = new Blackboard();
    private final List<DomainSpec> mDomains = new ArrayList<>();
    private final List<LinkSpec> mLinks = new ArrayList<>();
    private final List<UpstreamSpec> mUpstreams = new ArrayList<>();
    private final List<PipelineSpec> mPipelines = new ArrayList<>();
    private Configuration mConfiguration;

    public FleetFixture() {
        withPipeline("planner", Optional.empty());
    }

    /** Adds a pipeline of {@link #MODEL}. */
    public final FleetFixture withPipeline(String name, Optional<Identity> adapter) {
        mPipelines.add(new PipelineSpec(id(ResourceKind.PIPELINE, name), MODEL.id(), adapter, 1));
        return this;
    }

    public static Identity id(ResourceKind kind, String name) {
        return new Identity("kenanga", kind, name);
    }

    public static Identity engine(String name) {
        return id(ResourceKind.UPSTREAM, name);
    }

    public static Identity domain(String name) {
        return id(ResourceKind.DOMAIN, name);
    }

    public FleetFixture withDomain(String name, String region) {
        mDomains.add(new DomainSpec(domain(name), region));
        return this;
    }

    public FleetFixture withLink(String from, String to, Duration latency, long bytesPerSecond) {
        mLinks.add(new LinkSpec(domain(from), domain(to), latency, bytesPerSecond));
        return this;
    }

    /** Adds an engine that holds a layer range of {@link #MODEL} with the given adapters. */
    public FleetFixture withEngine(
            String name, String domain, double speed, int from, int to, Identity... adapters) {
        AcceleratorSpec accelerator =
                new AcceleratorSpec(
                        "a40", 1, 1L << 36, speed * 400_000, speed * 40_000, 100_000, 64);
        UpstreamSpec.Holding holding =
                new UpstreamSpec.Holding(MODEL.id(), new LayerRange(from, to), List.of(adapters));
        mUpstreams.add(
                new UpstreamSpec(
                        engine(name),
                        UpstreamSpec.Role.ENGINE,
                        domain(domain),
                        Optional.empty(),
                        URI.create("http://127.0.0.1:1"),
                        Optional.of(accelerator),
                        true,
                        true,
                        List.of(holding)));
        return this;
    }

    /** Builds the configuration of the next generation. */
    public Configuration build() {
        long generation = mConfiguration == null ? 1 : mConfiguration.generation() + 1;
        Manifest manifest =
                new Manifest(
                        List.of("kenanga"),
                        mDomains,
                        mLinks,
                        List.of(),
                        List.of(),
                        mUpstreams,
                        List.of(MODEL),
                        List.of(),
                        mPipelines,
                        List.of(),
                        List.of());
        mConfiguration = new Configuration(generation, "digest-" + generation, manifest);
        return mConfiguration;
    }

    /** Removes an engine from the next generation. */
    public FleetFixture withoutEngine(String name) {
        mUpstreams.removeIf(spec -> spec.id().equals(engine(name)));
        return this;
    }

    public Configuration configuration() {
        return mConfiguration == null ? build() : mConfiguration;
    }

    public Blackboard board() {
        return mBoard;
    }

    /** Stores an observation of every engine as idle, reachable and sampled at the given time. */
    public FleetFixture observeAll(Instant at) {
        configuration().manifest().upstreams().forEach(spec -> observe(spec, at, 0, 0, false));
        return this;
    }

    /** Stores an observation of one engine. */
    public void observe(
            UpstreamSpec spec, Instant at, int streams, long queuedTokens, boolean leaving) {
        UpstreamStatus status =
                new UpstreamStatus(
                        "boot-1",
                        at.toEpochMilli(),
                        leaving,
                        spec.initialHoldings(),
                        streams,
                        queuedTokens,
                        1L << 30,
                        Optional.empty(),
                        0);
        mBoard.upstreams()
                .put(
                        spec.id(),
                        new UpstreamObservation(spec.id(), status, at, Reachability.REACHABLE));
    }

    /** Changes the observed reachability of an engine. */
    public void setReachability(String name, Reachability reachability) {
        UpstreamObservation previous = mBoard.upstreams().get(engine(name)).orElseThrow();
        mBoard.upstreams()
                .put(
                        engine(name),
                        new UpstreamObservation(
                                engine(name),
                                previous.status(),
                                previous.sampledAt(),
                                reachability));
    }

    public UpstreamSpec spec(String name) {
        return configuration().upstream(engine(name)).orElseThrow();
    }

    public EngineDirectory directory() {
        return new EngineDirectory(mBoard, () -> Optional.ofNullable(mConfiguration), id -> false);
    }

    /** Returns a request for a new answer to a prompt of 100 tokens. */
    public ChainRequest request(String requestId) {
        return request(requestId, Optional.empty(), Set.of(), Optional.empty(), 0);
    }

    /** Returns a request for an answer to a prompt of 100 tokens. */
    public ChainRequest request(
            String requestId,
            Optional<Identity> adapter,
            Set<Identity> excluded,
            Optional<Chain> previous,
            int doneTokens) {
        return new ChainRequest(
                requestId,
                configuration(),
                MODEL,
                adapter,
                100,
                doneTokens,
                50,
                List.of(),
                excluded,
                previous,
                Optional.empty());
    }
}
