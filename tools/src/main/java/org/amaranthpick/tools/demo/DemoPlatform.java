package org.amaranthpick.tools.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ManifestWriter;
import org.amaranthpick.standins.StoreStandIn;

/** Both fleets of stand-ins and the stand-in of the platform's store. */
final class DemoPlatform implements AutoCloseable {
    private final StoreStandIn mStore = new StoreStandIn();
    private final List<DemoFleet> mFleets =
            List.of(new DemoFleet("kenanga"), new DemoFleet("viseu"));

    StoreStandIn store() {
        return mStore;
    }

    List<DemoFleet> fleets() {
        return mFleets;
    }

    /**
     * Writes the manifest of both fleets.
     *
     * @return manifest as JSON
     */
    String manifest() {
        return ManifestWriter.write(
                new Manifest(
                        mFleets.stream().map(DemoFleet::name).toList(),
                        each(DemoFleet::domain),
                        each(DemoFleet::link),
                        List.of(),
                        List.of(),
                        upstreams(),
                        each(DemoFleet::model),
                        List.of(),
                        each(DemoFleet::pipeline),
                        each(DemoFleet::workspace),
                        each(DemoFleet::serviceSpec)));
    }

    @Override
    public void close() {
        mFleets.forEach(DemoFleet::close);
        mStore.close();
    }

    private <T> List<T> each(Function<DemoFleet, T> part) {
        return mFleets.stream().map(part).toList();
    }

    private List<org.amaranthpick.core.manifest.UpstreamSpec> upstreams() {
        List<org.amaranthpick.core.manifest.UpstreamSpec> all = new ArrayList<>();
        mFleets.forEach(fleet -> all.addAll(fleet.upstreams()));
        return all;
    }
}
