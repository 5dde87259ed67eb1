package org.amaranthpick.bench.wave;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.LinkSpec;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.PipelineSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;

/** Fleet of mixed engines: five kinds, ranges of different sizes, links that differ 100 times. */
public final class WaveFleet {
    /** Model version of 40 layers. */
    public static final ModelVersionSpec MODEL =
            new ModelVersionSpec(id(ResourceKind.MODEL_VERSION, "planner-7"), 40, 1, 8_192, 1_000);

    private static final double[] SPEEDS = {0.5, 1, 1.5, 2, 4};
    private static final int[][] RANGES = {{0, 20}, {20, 40}, {0, 40}, {0, 14}, {14, 28}, {28, 40}};
    private static final long FAST = 1_250_000_000L;
    private static final long SLOW = 12_500_000L;

    private WaveFleet() {}

    /** Returns an identity of the fleet. */
    static Identity id(ResourceKind kind, String name) {
        return new Identity("kenanga", kind, name);
    }

    /** Returns a workspace with wide limits. */
    static WorkspaceSpec workspace(String name) {
        return new WorkspaceSpec(
                id(ResourceKind.WORKSPACE, name),
                List.of(),
                new WorkspaceSpec.Limits(1e6, 1e9, 1_000_000),
                1,
                List.of(),
                List.of());
    }

    /**
     * Builds a fleet.
     *
     * @param domains failure domains; the last has slow links to the others
     * @param engines engines in all
     * @return configuration
     */
    public static Configuration build(int domains, int engines) {
        List<DomainSpec> specs = new ArrayList<>();
        List<LinkSpec> links = new ArrayList<>();
        for (int i = 0; i < domains; i++) {
            specs.add(new DomainSpec(domain(i), "kl"));
            links.add(new LinkSpec(domain(i), domain(i), Duration.ofNanos(100_000), FAST));
            for (int j = 0; j < i; j++) {
                boolean slow = i == domains - 1;
                Duration latency = slow ? Duration.ofMillis(2) : Duration.ofNanos(300_000);
                links.add(new LinkSpec(domain(j), domain(i), latency, slow ? SLOW : FAST));
            }
        }
        List<UpstreamSpec> upstreams = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            upstreams.add(engine(i, i % domains, i / domains));
        }
        PipelineSpec pipeline =
                new PipelineSpec(
                        id(ResourceKind.PIPELINE, "planner"), MODEL.id(), Optional.empty(), 1);
        return new Configuration(
                1,
                "digest",
                new Manifest(
                        List.of("kenanga"),
                        specs,
                        links,
                        List.of(),
                        List.of(),
                        upstreams,
                        List.of(MODEL),
                        List.of(),
                        List.of(pipeline),
                        List.of(),
                        List.of()));
    }

    static Identity domain(int index) {
        return id(ResourceKind.DOMAIN, "kl-" + (char) ('a' + index));
    }

    private static UpstreamSpec engine(int index, int domain, int turn) {
        double speed = SPEEDS[(turn + domain) % SPEEDS.length];
        int[] range = RANGES[turn % RANGES.length];
        AcceleratorSpec accelerator =
                new AcceleratorSpec(
                        "kind-" + speed,
                        1,
                        1L << 36,
                        speed * 400_000,
                        speed * 40_000,
                        (long) (100_000 / speed),
                        256);
        UpstreamSpec.Holding holding =
                new UpstreamSpec.Holding(MODEL.id(), new LayerRange(range[0], range[1]), List.of());
        return new UpstreamSpec(
                id(ResourceKind.UPSTREAM, "e" + index),
                UpstreamSpec.Role.ENGINE,
                domain(domain),
                Optional.empty(),
                URI.create("http://127.0.0.1:1"),
                Optional.of(accelerator),
                true,
                true,
                List.of(holding));
    }
}
