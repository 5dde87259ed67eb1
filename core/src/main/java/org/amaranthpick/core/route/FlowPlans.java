package org.amaranthpick.core.route;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.PipelineSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.retry.SlowStart;

/** Keeps the flow plan of every pipeline; recomputes those whose engines or links changed. */
public final class FlowPlans implements Controller {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final Duration PERIOD = Duration.ofMillis(250);
    private static final long DELAY_UNIT_NS = Duration.ofMillis(10).toNanos();
    private static final int MAX_DELAY_STEPS = 6;

    private final EngineDirectory mDirectory;
    private final ConfigurationView mConfiguration;
    private final SlowStart mSlowStart;
    private final DelayEstimator mDelays;
    private final Map<Identity, Integer> mSignatures = new HashMap<>();
    private volatile Map<Key, FlowPlan> mPlans = Map.of();

    /** What a plan is for. */
    private record Key(Identity modelVersion, Optional<Identity> adapter) {}

    FlowPlans(
            EngineDirectory directory,
            ConfigurationView configuration,
            SlowStart slowStart,
            DelayEstimator delays) {
        mDirectory = directory;
        mConfiguration = configuration;
        mSlowStart = slowStart;
        mDelays = delays;
    }

    @Override
    public String name() {
        return "flow-plans";
    }

    @Override
    public Duration period() {
        return PERIOD;
    }

    /**
     * Finds a plan.
     *
     * @param modelVersion identity of kind MODEL_VERSION
     * @param adapter adapter of the pipeline, if any
     * @return newest plan, empty before the first or if no pipeline needs it
     */
    public Optional<FlowPlan> plan(Identity modelVersion, Optional<Identity> adapter) {
        return Optional.ofNullable(mPlans.get(new Key(modelVersion, adapter)));
    }

    @Override
    public void step() {
        Optional<Configuration> configuration = mConfiguration.current();
        if (configuration.isEmpty()) {
            return;
        }
        Set<Key> wanted = wanted(configuration.get());
        Map<Identity, List<Engine>> engines = mDirectory.byModelVersion(configuration.get());
        Map<Key, FlowPlan> plans = new HashMap<>(mPlans);
        plans.keySet().retainAll(wanted);
        LinkCosts links = new LinkCosts(configuration.get());
        Set<Identity> changed = changed(configuration.get(), links, wanted, engines);
        for (Key key : wanted) {
            if (changed.contains(key.modelVersion()) || !plans.containsKey(key)) {
                List<Engine> held = engines.getOrDefault(key.modelVersion(), List.of());
                plans.put(key, solve(configuration.get(), links, key, held));
            }
        }
        mPlans = Map.copyOf(plans);
    }

    private static Set<Key> wanted(Configuration configuration) {
        Set<Key> wanted = new HashSet<>();
        for (PipelineSpec pipeline : configuration.manifest().pipelines()) {
            wanted.add(new Key(pipeline.modelVersion(), pipeline.adapter()));
        }
        return wanted;
    }

    private Set<Identity> changed(
            Configuration configuration,
            LinkCosts links,
            Set<Key> wanted,
            Map<Identity, List<Engine>> engines) {
        Set<Identity> changed = new HashSet<>();
        for (Key key : wanted) {
            Identity model = key.modelVersion();
            List<Engine> held = engines.getOrDefault(model, List.of());
            int signature =
                    Objects.hash(
                            engineSignature(held),
                            links.signature(),
                            linkSignature(held),
                            configuration.modelVersion(model));
            Integer before = mSignatures.put(model, signature);
            if (before == null || before != signature) {
                changed.add(model);
            }
        }
        return changed;
    }

    private int engineSignature(List<Engine> engines) {
        int signature = 1;
        for (Engine engine : engines) {
            int share = (int) (mSlowStart.share(engine.id()) * 1_000);
            signature =
                    31 * signature
                            + Objects.hash(
                                    engine.id(),
                                    engine.layers(),
                                    engine.accelerator(),
                                    engine.holdings(),
                                    share);
        }
        return signature;
    }

    private int linkSignature(List<Engine> engines) {
        List<Identity> domains = engines.stream().map(Engine::domain).distinct().toList();
        int signature = 1;
        for (Identity from : domains) {
            for (Identity to : domains) {
                signature = 31 * signature + delaySteps(from, to);
            }
        }
        return signature;
    }

    private FlowPlan solve(
            Configuration configuration, LinkCosts links, Key key, List<Engine> held) {
        Optional<ModelVersionSpec> model = configuration.modelVersion(key.modelVersion());
        List<Engine> engines = held.stream().filter(engine -> fits(engine, key)).toList();
        FlowPlan plan =
                new ModelGraph(
                                model.orElseThrow(),
                                engines,
                                links,
                                new EngineCapacity(mSlowStart::share),
                                this::linkShare)
                        .solve();
        sLogger.atInfo().log(
                "route: plan of %s carries %d of %d tokens/s over %d engines",
                key.modelVersion(),
                (long) plan.tokensPerSecond(),
                (long) plan.boundTokensPerSecond(),
                engines.size());
        return plan;
    }

    private static boolean fits(Engine engine, Key key) {
        if (key.adapter().isEmpty()) {
            return true;
        }
        for (UpstreamSpec.Holding holding : engine.holdings()) {
            if (holding.modelVersion().equals(key.modelVersion())
                    && holding.layers().equals(engine.layers())
                    && holding.adapters().contains(key.adapter().get())) {
                return true;
            }
        }
        return false;
    }

    private double linkShare(Identity from, Identity to) {
        return Math.pow(0.5, delaySteps(from, to));
    }

    /**
     * Counts the doublings of a learnt delay above its unit, so that small changes do not count.
     */
    private int delaySteps(Identity from, Identity to) {
        long units = from.equals(to) ? 0 : mDelays.delayNs(from, to) / DELAY_UNIT_NS;
        int steps = Long.SIZE - Long.numberOfLeadingZeros(units);
        return Math.min(MAX_DELAY_STEPS, steps);
    }
}
