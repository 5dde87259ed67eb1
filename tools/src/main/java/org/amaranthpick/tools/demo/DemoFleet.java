package org.amaranthpick.tools.demo;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.LinkSpec;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.PipelineSpec;
import org.amaranthpick.core.manifest.ServiceSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.manifest.UpstreamSpec.Holding;
import org.amaranthpick.core.manifest.UpstreamSpec.Role;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.server.caller.CallerAuthenticator;
import org.amaranthpick.standins.EngineFabric;
import org.amaranthpick.standins.EngineOptions;
import org.amaranthpick.standins.EngineStandIn;
import org.amaranthpick.standins.ServiceStandIn;

/**
 * One fleet of stand-ins. Every fleet uses the same names: domain {@code zone-a}, engines {@code
 * engine-1} to {@code engine-4}, model version {@code planner-1}, pipeline {@code assistant},
 * workspace {@code desk}, service {@code bookings}.
 */
public final class DemoFleet implements AutoCloseable {
    static final String PIPELINE = "assistant";
    static final String SERVICE = "bookings";

    private static final int LAYERS = 4;
    private static final int ENGINES = 4;
    private static final long GIBIBYTE = 1L << 30;

    private final String mName;
    private final Duration mTokenDelay;
    private final Map<Identity, EngineStandIn> mEngines = new TreeMap<>();
    private final ServiceStandIn mService = new ServiceStandIn();

    DemoFleet(String name, Duration tokenDelay) {
        mName = name;
        mTokenDelay = tokenDelay;
        EngineFabric fabric = new EngineFabric();
        for (int i = 1; i <= ENGINES; i++) {
            Identity engine = id(ResourceKind.UPSTREAM, "engine-" + i);
            mEngines.put(engine, new EngineStandIn(options(engine, i), fabric));
        }
    }

    /**
     * Returns the name of the fleet.
     *
     * @return name
     */
    public String name() {
        return mName;
    }

    /**
     * Returns the credential of the workspace {@code desk}.
     *
     * @return bearer credential
     */
    public String credential() {
        return mName + "-desk-credential";
    }

    /**
     * Returns the model version.
     *
     * @return identity of kind MODEL_VERSION
     */
    public Identity modelVersion() {
        return id(ResourceKind.MODEL_VERSION, "planner-1");
    }

    /**
     * Returns the engines.
     *
     * @return stand-ins by upstream
     */
    public Map<Identity, EngineStandIn> engines() {
        return mEngines;
    }

    ServiceStandIn service() {
        return mService;
    }

    DomainSpec domain() {
        return new DomainSpec(domainId(), mName + "-region");
    }

    LinkSpec link() {
        return new LinkSpec(domainId(), domainId(), Duration.ofNanos(200_000), 10L * GIBIBYTE);
    }

    /**
     * Returns the model version as the manifest has it.
     *
     * @return model version
     */
    public ModelVersionSpec model() {
        return new ModelVersionSpec(modelVersion(), LAYERS, GIBIBYTE, 16_384, 8_192);
    }

    PipelineSpec pipeline() {
        Identity id = id(ResourceKind.PIPELINE, PIPELINE);
        return new PipelineSpec(id, modelVersion(), Optional.empty(), 1);
    }

    WorkspaceSpec workspace() {
        return new WorkspaceSpec(
                id(ResourceKind.WORKSPACE, "desk"),
                List.of(CallerAuthenticator.hash(credential())),
                new WorkspaceSpec.Limits(1_000, 1_000_000, 200),
                1,
                List.of(id(ResourceKind.PIPELINE, PIPELINE)),
                List.of(id(ResourceKind.SERVICE, SERVICE)));
    }

    ServiceSpec serviceSpec() {
        return new ServiceSpec(
                id(ResourceKind.SERVICE, SERVICE),
                List.of(id(ResourceKind.UPSTREAM, "bookings-1")),
                List.of(new ServiceSpec.CallPattern("POST", "/checkout")));
    }

    List<UpstreamSpec> upstreams() {
        List<UpstreamSpec> specs = new ArrayList<>();
        int number = 1;
        for (Map.Entry<Identity, EngineStandIn> entry : mEngines.entrySet()) {
            List<Holding> holdings = List.of(holding(number++));
            Optional<AcceleratorSpec> accelerator = Optional.of(accelerator());
            specs.add(
                    upstream(
                            entry.getKey(),
                            Role.ENGINE,
                            entry.getValue().address(),
                            accelerator,
                            holdings));
        }
        Identity service = id(ResourceKind.UPSTREAM, "bookings-1");
        URI address = mService.address();
        specs.add(upstream(service, Role.SERVICE, address, Optional.empty(), List.of()));
        return specs;
    }

    @Override
    public void close() {
        mEngines.values().forEach(EngineStandIn::close);
        mService.close();
    }

    private UpstreamSpec upstream(
            Identity id,
            Role role,
            URI address,
            Optional<AcceleratorSpec> accelerator,
            List<Holding> holdings) {
        return new UpstreamSpec(
                id, role, domainId(), Optional.empty(), address, accelerator, true, true, holdings);
    }

    private static AcceleratorSpec accelerator() {
        return new AcceleratorSpec("demo", 1, 16 * GIBIBYTE, 100_000, 20_000, 100_000, 64);
    }

    private EngineOptions options(Identity engine, int number) {
        return new EngineOptions(
                engine.key(),
                List.of(holding(number)),
                mTokenDelay,
                Duration.ofMillis(500),
                Duration.ofMillis(200),
                14 * GIBIBYTE,
                64,
                true,
                false);
    }

    /** Engines 1 and 3 hold the first half of the layers, 2 and 4 the second. */
    private Holding holding(int number) {
        boolean first = number % 2 == 1;
        LayerRange layers =
                first ? new LayerRange(0, LAYERS / 2) : new LayerRange(LAYERS / 2, LAYERS);
        return new Holding(modelVersion(), layers, List.of());
    }

    private Identity domainId() {
        return id(ResourceKind.DOMAIN, "zone-a");
    }

    private Identity id(ResourceKind kind, String name) {
        return new Identity(mName, kind, name);
    }
}
