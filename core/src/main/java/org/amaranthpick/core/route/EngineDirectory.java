package org.amaranthpick.core.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.observe.UpstreamObservation.Reachability;
import org.amaranthpick.core.placement.RoutingHold;

/**
 * Lists the engines that accept new work: those that are configured, reachable, not leaving, not
 * ejected and not under a routing hold.
 */
public final class EngineDirectory {
    private final Blackboard mBoard;
    private final ConfigurationView mConfiguration;
    private final Predicate<Identity> mIsEjected;

    /**
     * Creates a directory.
     *
     * @param board blackboard with upstream observations and routing holds
     * @param configuration configuration in force; an upstream that it lacks gets no new work
     * @param isEjected returns whether an upstream is ejected as an outlier
     */
    public EngineDirectory(
            Blackboard board, ConfigurationView configuration, Predicate<Identity> isEjected) {
        mBoard = board;
        mConfiguration = configuration;
        mIsEjected = isEjected;
    }

    /**
     * Lists the engines that hold layers of a model version and accept new work.
     *
     * @param pinned configuration that the request is pinned to
     * @param model model version
     * @param adapter adapter that must be held too, if any
     * @return engines, one entry per holding
     */
    List<Engine> engines(Configuration pinned, Identity model, Optional<Identity> adapter) {
        List<Engine> engines = new ArrayList<>();
        for (UpstreamSpec spec : pinned.manifest().upstreams()) {
            if (spec.accelerator().isEmpty() || !acceptsWork(pinned, spec.id())) {
                continue;
            }
            if (isOnHold(spec.id(), model)) {
                continue;
            }
            addHoldings(spec, model, adapter, engines);
        }
        return engines;
    }

    /**
     * Finds one engine that holds a range of layers and accepts new work.
     *
     * @param pinned configuration that the request is pinned to
     * @param upstream identity of the engine
     * @param model model version
     * @param adapter adapter that must be held too, if any
     * @param layers layers that must be held
     * @return the engine, empty if it does not hold the layers or accepts no work
     */
    Optional<Engine> engine(
            Configuration pinned,
            Identity upstream,
            Identity model,
            Optional<Identity> adapter,
            LayerRange layers) {
        Optional<UpstreamSpec> spec = pinned.upstream(upstream);
        if (spec.isEmpty() || spec.get().accelerator().isEmpty()) {
            return Optional.empty();
        }
        if (!acceptsWork(pinned, upstream) || isOnHold(upstream, model)) {
            return Optional.empty();
        }
        Optional<UpstreamObservation> observation = mBoard.upstreams().get(upstream);
        for (UpstreamSpec.Holding holding : holdings(spec.get(), observation)) {
            if (matches(holding, model, adapter) && holding.layers().contains(layers)) {
                return Optional.of(
                        new Engine(
                                spec.get(),
                                spec.get().accelerator().get(),
                                holding.layers(),
                                observation));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether an upstream accepts new work, regardless of what it holds.
     *
     * @param pinned configuration that the request is pinned to
     * @param upstream identity of kind UPSTREAM
     * @return true if it is configured, reachable, not leaving and not ejected
     */
    boolean acceptsWork(Configuration pinned, Identity upstream) {
        Optional<Configuration> current = mConfiguration.current();
        if (current.isPresent()
                && current.get() != pinned
                && current.get().upstream(upstream).isEmpty()) {
            return false;
        }
        Optional<UpstreamObservation> observation = mBoard.upstreams().get(upstream);
        if (observation.isPresent()) {
            UpstreamObservation latest = observation.get();
            if (latest.status().leaving() || latest.reachability() == Reachability.LOST) {
                return false;
            }
        }
        return !mIsEjected.test(upstream);
    }

    /**
     * Groups the engines that accept new work by the model versions that they hold.
     *
     * @param configuration configuration to take the engines from
     * @return engines by model version, one entry per holding
     */
    Map<Identity, List<Engine>> byModelVersion(Configuration configuration) {
        Map<Identity, List<Engine>> enginesByModelVersion = new HashMap<>();
        for (UpstreamSpec spec : configuration.manifest().upstreams()) {
            if (spec.accelerator().isEmpty() || !acceptsWork(configuration, spec.id())) {
                continue;
            }
            Optional<UpstreamObservation> observation = mBoard.upstreams().get(spec.id());
            for (UpstreamSpec.Holding holding : holdings(spec, observation)) {
                if (!isOnHold(spec.id(), holding.modelVersion())) {
                    enginesByModelVersion
                            .computeIfAbsent(holding.modelVersion(), key -> new ArrayList<>())
                            .add(
                                    new Engine(
                                            spec,
                                            spec.accelerator().get(),
                                            holding.layers(),
                                            observation));
                }
            }
        }
        return enginesByModelVersion;
    }

    private boolean isOnHold(Identity upstream, Identity model) {
        Optional<RoutingHold> hold = mBoard.routingHolds().get(upstream);
        return hold.isPresent() && hold.get().modelVersions().contains(model);
    }

    private void addHoldings(
            UpstreamSpec spec, Identity model, Optional<Identity> adapter, List<Engine> engines) {
        Optional<UpstreamObservation> observation = mBoard.upstreams().get(spec.id());
        for (UpstreamSpec.Holding holding : holdings(spec, observation)) {
            if (matches(holding, model, adapter)) {
                engines.add(
                        new Engine(spec, spec.accelerator().get(), holding.layers(), observation));
            }
        }
    }

    private static List<UpstreamSpec.Holding> holdings(
            UpstreamSpec spec, Optional<UpstreamObservation> observation) {
        return observation.isPresent()
                ? observation.get().status().holdings()
                : spec.initialHoldings();
    }

    private static boolean matches(
            UpstreamSpec.Holding holding, Identity model, Optional<Identity> adapter) {
        return holding.modelVersion().equals(model)
                && (adapter.isEmpty() || holding.adapters().contains(adapter.get()));
    }
}
