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

/** Tells which engines may take new work now: configured, reachable, not leaving, not held back. */
public final class EngineDirectory {
    private final Blackboard mBoard;
    private final ConfigurationView mCurrent;
    private final Predicate<Identity> mEjected;

    /**
     * Creates a directory.
     *
     * @param board blackboard with the observed upstreams and the routing holds
     * @param current configuration in force; an upstream it lacks gets nothing new
     * @param ejected tells whether an upstream is ejected as an outlier
     */
    public EngineDirectory(
            Blackboard board, ConfigurationView current, Predicate<Identity> ejected) {
        mBoard = board;
        mCurrent = current;
        mEjected = ejected;
    }

    /**
     * Lists the holdings of a model version that may take new work.
     *
     * @param pinned configuration that the request pins
     * @param model model version
     * @param adapter adapter that must be held too
     * @return engines, one entry per holding
     */
    List<Engine> engines(Configuration pinned, Identity model, Optional<Identity> adapter) {
        List<Engine> engines = new ArrayList<>();
        for (UpstreamSpec spec : pinned.manifest().upstreams()) {
            if (spec.accelerator().isEmpty() || !acceptsWork(pinned, spec.id())) {
                continue;
            }
            if (isHeld(spec.id(), model)) {
                continue;
            }
            addHoldings(spec, model, adapter, engines);
        }
        return engines;
    }

    /**
     * Finds the holding of one engine that covers a range of layers and may take new work.
     *
     * @param pinned configuration that the request pins
     * @param upstream the engine
     * @param model model version
     * @param adapter adapter that must be held too
     * @param layers layers that must be held
     * @return the engine, if it may take them
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
        if (!acceptsWork(pinned, upstream) || isHeld(upstream, model)) {
            return Optional.empty();
        }
        Optional<UpstreamObservation> seen = mBoard.upstreams().get(upstream);
        for (UpstreamSpec.Holding holding : holdings(spec.get(), seen)) {
            if (fits(holding, model, adapter) && holding.layers().contains(layers)) {
                return Optional.of(
                        new Engine(
                                spec.get(),
                                spec.get().accelerator().get(),
                                holding.layers(),
                                seen));
            }
        }
        return Optional.empty();
    }

    /**
     * Tells whether an upstream may take new work, whatever it holds.
     *
     * @param pinned configuration that the request pins
     * @param upstream identity of kind UPSTREAM
     * @return true if it is configured, reachable, not leaving and not ejected
     */
    boolean acceptsWork(Configuration pinned, Identity upstream) {
        Optional<Configuration> current = mCurrent.current();
        if (current.isPresent()
                && current.get() != pinned
                && current.get().upstream(upstream).isEmpty()) {
            return false;
        }
        Optional<UpstreamObservation> seen = mBoard.upstreams().get(upstream);
        if (seen.isPresent()) {
            UpstreamObservation observation = seen.get();
            if (observation.status().leaving() || observation.reachability() == Reachability.LOST) {
                return false;
            }
        }
        return !mEjected.test(upstream);
    }

    /**
     * Lists the engines that may take new work by the model versions that they hold.
     *
     * @param configuration configuration
     * @return engines by model version, one entry per holding
     */
    Map<Identity, List<Engine>> byModelVersion(Configuration configuration) {
        Map<Identity, List<Engine>> found = new HashMap<>();
        for (UpstreamSpec spec : configuration.manifest().upstreams()) {
            if (spec.accelerator().isEmpty() || !acceptsWork(configuration, spec.id())) {
                continue;
            }
            Optional<UpstreamObservation> seen = mBoard.upstreams().get(spec.id());
            for (UpstreamSpec.Holding holding : holdings(spec, seen)) {
                if (!isHeld(spec.id(), holding.modelVersion())) {
                    found.computeIfAbsent(holding.modelVersion(), key -> new ArrayList<>())
                            .add(
                                    new Engine(
                                            spec,
                                            spec.accelerator().get(),
                                            holding.layers(),
                                            seen));
                }
            }
        }
        return found;
    }

    private boolean isHeld(Identity upstream, Identity model) {
        Optional<RoutingHold> hold = mBoard.holds().get(upstream);
        return hold.isPresent() && hold.get().modelVersions().contains(model);
    }

    private void addHoldings(
            UpstreamSpec spec, Identity model, Optional<Identity> adapter, List<Engine> engines) {
        Optional<UpstreamObservation> seen = mBoard.upstreams().get(spec.id());
        for (UpstreamSpec.Holding holding : holdings(spec, seen)) {
            if (fits(holding, model, adapter)) {
                engines.add(new Engine(spec, spec.accelerator().get(), holding.layers(), seen));
            }
        }
    }

    private static List<UpstreamSpec.Holding> holdings(
            UpstreamSpec spec, Optional<UpstreamObservation> seen) {
        return seen.isPresent() ? seen.get().status().holdings() : spec.initial();
    }

    private static boolean fits(
            UpstreamSpec.Holding holding, Identity model, Optional<Identity> adapter) {
        return holding.modelVersion().equals(model)
                && (adapter.isEmpty() || holding.adapters().contains(adapter.get()));
    }
}
