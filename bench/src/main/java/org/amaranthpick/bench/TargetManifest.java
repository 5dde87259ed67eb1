package org.amaranthpick.bench;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.manifest.AdapterSpec;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.HostSpec;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.LinkSpec;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.PipelineSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;

/** Manifests of two fleets that use the same names, of any size up to the design target. */
final class TargetManifest {
    private static final List<String> FLEETS = List.of("kenanga", "viseu");
    private static final int DOMAINS_PER_FLEET = 5;
    private static final int LAYERS = 32;
    private static final int UPSTREAMS_PER_HOST = 4;

    private TargetManifest() {}

    /**
     * Makes a manifest.
     *
     * @param workspaces workspaces of both fleets together
     * @param upstreams upstreams of both fleets together
     * @param models model versions of both fleets together
     * @param marker weight of the first workspace, so that two manifests differ in one resource
     * @return manifest
     */
    static Manifest of(int workspaces, int upstreams, int models, int marker) {
        List<DomainSpec> domains = new ArrayList<>();
        List<LinkSpec> links = new ArrayList<>();
        List<HostSpec> hosts = new ArrayList<>();
        List<UpstreamSpec> engines = new ArrayList<>();
        List<ModelVersionSpec> versions = new ArrayList<>();
        List<AdapterSpec> adapters = new ArrayList<>();
        List<PipelineSpec> pipelines = new ArrayList<>();
        List<WorkspaceSpec> spaces = new ArrayList<>();
        for (String fleet : FLEETS) {
            for (int i = 0; i < DOMAINS_PER_FLEET; i++) {
                domains.add(new DomainSpec(domain(fleet, i), "region-" + i % 3));
                for (int j = i; j < DOMAINS_PER_FLEET; j++) {
                    links.add(
                            new LinkSpec(
                                    domain(fleet, i),
                                    domain(fleet, j),
                                    Duration.ofNanos(300_000),
                                    1_250_000_000));
                }
            }
            for (int i = 0; i < models / FLEETS.size(); i++) {
                addModel(fleet, i, versions, adapters, pipelines);
            }
            for (int i = 0; i < upstreams / FLEETS.size(); i++) {
                if (i % UPSTREAMS_PER_HOST == 0) {
                    hosts.add(host(fleet, i / UPSTREAMS_PER_HOST));
                }
                engines.add(engine(fleet, i, models / FLEETS.size()));
            }
            for (int i = 0; i < workspaces / FLEETS.size(); i++) {
                boolean first = i == 0 && fleet.equals(FLEETS.get(0));
                spaces.add(workspace(fleet, i, models / FLEETS.size(), first ? marker : 1));
            }
        }
        return new Manifest(
                FLEETS, domains, links, hosts, List.of(), engines, versions, adapters, pipelines,
                spaces, List.of());
    }

    private static void addModel(
            String fleet,
            int number,
            List<ModelVersionSpec> versions,
            List<AdapterSpec> adapters,
            List<PipelineSpec> pipelines) {
        Identity model = id(fleet, ResourceKind.MODEL_VERSION, "base-" + number);
        Identity adapter = id(fleet, ResourceKind.ADAPTER, "style-" + number);
        versions.add(new ModelVersionSpec(model, LAYERS, 500_000_000L, 8192, 4096));
        adapters.add(new AdapterSpec(adapter, model, 8_000_000));
        Identity pipeline = id(fleet, ResourceKind.PIPELINE, "assistant-" + number);
        pipelines.add(new PipelineSpec(pipeline, model, Optional.of(adapter), 2));
    }

    private static UpstreamSpec engine(String fleet, int number, int models) {
        Identity model = id(fleet, ResourceKind.MODEL_VERSION, "base-" + number % models);
        Identity adapter = id(fleet, ResourceKind.ADAPTER, "style-" + number % models);
        LayerRange layers = new LayerRange(number % 2 * (LAYERS / 2), (number % 2 + 1) * 16);
        AcceleratorSpec accelerator =
                new AcceleratorSpec("a40", 4, 24_000_000_000L, 600_000, 96_000, 200_000, 64);
        return new UpstreamSpec(
                id(fleet, ResourceKind.UPSTREAM, "engine-" + number),
                UpstreamSpec.Role.ENGINE,
                domain(fleet, domainOf(number)),
                Optional.of(id(fleet, ResourceKind.HOST, "host-" + number / UPSTREAMS_PER_HOST)),
                URI.create("http://10.1." + number / 250 + "." + (number % 250 + 1) + ":8000"),
                Optional.of(accelerator),
                number % 3 != 0,
                number % 2 != 0,
                List.of(new UpstreamSpec.Holding(model, layers, List.of(adapter))));
    }

    private static WorkspaceSpec workspace(String fleet, int number, int models, int weight) {
        String hash = String.format("%032x%032x", FLEETS.indexOf(fleet), number);
        return new WorkspaceSpec(
                id(fleet, ResourceKind.WORKSPACE, "school-" + number),
                List.of(hash),
                new WorkspaceSpec.Limits(50, 20_000, 100),
                weight,
                List.of(id(fleet, ResourceKind.PIPELINE, "assistant-" + number % models)),
                List.of());
    }

    private static HostSpec host(String fleet, int number) {
        int domain = domainOf(number * UPSTREAMS_PER_HOST);
        return new HostSpec(
                id(fleet, ResourceKind.HOST, "host-" + number),
                domain(fleet, domain),
                "rack-" + number / 8);
    }

    private static int domainOf(int upstream) {
        return upstream / UPSTREAMS_PER_HOST % DOMAINS_PER_FLEET;
    }

    private static Identity domain(String fleet, int number) {
        return id(fleet, ResourceKind.DOMAIN, "zone-" + number);
    }

    private static Identity id(String fleet, ResourceKind kind, String name) {
        return new Identity(fleet, kind, name);
    }
}
