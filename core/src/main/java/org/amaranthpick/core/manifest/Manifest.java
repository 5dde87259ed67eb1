package org.amaranthpick.core.manifest;

import java.util.List;

/**
 * Validated manifest: the desired configuration of all fleets.
 *
 * @param fleets names of the fleets
 * @param domains failure domains
 * @param links links between domains or upstreams
 * @param hosts hosts that run upstreams
 * @param weightStores weight stores, at most one per fleet
 * @param upstreams engines and service instances
 * @param modelVersions model versions
 * @param adapters adapters
 * @param pipelines pipelines
 * @param workspaces workspaces
 * @param services HTTP services without a model
 */
public record Manifest(
        List<String> fleets,
        List<DomainSpec> domains,
        List<LinkSpec> links,
        List<HostSpec> hosts,
        List<WeightStoreSpec> weightStores,
        List<UpstreamSpec> upstreams,
        List<ModelVersionSpec> modelVersions,
        List<AdapterSpec> adapters,
        List<PipelineSpec> pipelines,
        List<WorkspaceSpec> workspaces,
        List<ServiceSpec> services) {

    /** Copies the lists. */
    public Manifest {
        fleets = List.copyOf(fleets);
        domains = List.copyOf(domains);
        links = List.copyOf(links);
        hosts = List.copyOf(hosts);
        weightStores = List.copyOf(weightStores);
        upstreams = List.copyOf(upstreams);
        modelVersions = List.copyOf(modelVersions);
        adapters = List.copyOf(adapters);
        pipelines = List.copyOf(pipelines);
        workspaces = List.copyOf(workspaces);
        services = List.copyOf(services);
    }
}
