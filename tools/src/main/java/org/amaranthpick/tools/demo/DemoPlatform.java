package org.amaranthpick.tools.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ManifestWriter;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.standins.StoreStandIn;

/** Both fleets of stand-ins and the stand-in of the platform's store. */
public final class DemoPlatform implements AutoCloseable {
    private static final Duration TOKEN_DELAY = Duration.ofMillis(5);

    private final StoreStandIn mStore = new StoreStandIn();
    private final List<DemoFleet> mFleets;

    /** Starts every stand-in, with a pace of tokens that can be watched. */
    public DemoPlatform() {
        this(TOKEN_DELAY);
    }

    /**
     * Starts every stand-in.
     *
     * @param tokenDelay time that each token takes in each stage
     */
    public DemoPlatform(Duration tokenDelay) {
        mFleets = List.of(new DemoFleet("kenanga", tokenDelay), new DemoFleet("viseu", tokenDelay));
    }

    /**
     * Returns the store.
     *
     * @return stand-in of the platform's object API
     */
    public StoreStandIn store() {
        return mStore;
    }

    /**
     * Returns the fleets.
     *
     * @return both fleets
     */
    public List<DemoFleet> fleets() {
        return mFleets;
    }

    /**
     * Writes the manifest of both fleets.
     *
     * @return manifest as JSON
     */
    public String manifest() {
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

    private List<UpstreamSpec> upstreams() {
        List<UpstreamSpec> all = new ArrayList<>();
        mFleets.forEach(fleet -> all.addAll(fleet.upstreams()));
        return all;
    }
}
