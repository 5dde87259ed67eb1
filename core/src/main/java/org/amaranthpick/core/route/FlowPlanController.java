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

/**
 * Maintains the flow plan of every pipeline; recomputes those whose engines or links have changed.
 */
public final class FlowPlanController implements Controller {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final Duration PERIOD = Duration.ofMillis(250);
    private static final long MIN_DELAY_NS = Duration.ofMillis(10).toNanos();
    private static final int MAX_DELAY_DOUBLINGS = 6;

    private final EngineDirectory mDirectory;
    private final ConfigurationView mConfiguration;
    private final SlowStart mSlowStart;
    private final DelayEstimator mDelays;
    private final Map<Identity, Integer> mSignatures = new HashMap<>();
    private volatile Map<PlanKey, FlowPlan> mPlans = Map.of();

    /** Key of a plan. */
    private record PlanKey(Identity modelVersion, Optional<Identity> adapter) {}

    FlowPlanController(
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
     * @return latest plan, empty if none has been computed or no pipeline needs one
     */
    public Optional<FlowPlan> plan(Identity modelVersion, Optional<Identity> adapter) {
        return Optional.ofNullable(mPlans.get(new PlanKey(modelVersion, adapter)));
    }

    @Override
    public void step() {
        Optional<Configuration> configuration = mConfiguration.current();
        if (configuration.isEmpty()) {
            return;
        }
        Set<PlanKey> required = requiredPlans(configuration.get());
        Map<Identity, List<Engine>> engines = mDirectory.byModelVersion(configuration.get());
        Map<PlanKey, FlowPlan> plans = new HashMap<>(mPlans);
        plans.keySet().retainAll(required);
        LinkCosts links = new LinkCosts(configuration.get());
        Set<Identity> changed = changedModelVersions(configuration.get(), links, required, engines);
        for (PlanKey key : required) {
            if (changed.contains(key.modelVersion()) || !plans.containsKey(key)) {
                List<Engine> holders = engines.getOrDefault(key.modelVersion(), List.of());
                plans.put(key, computePlan(configuration.get(), links, key, holders));
            }
        }
        mPlans = Map.copyOf(plans);
    }

    private static Set<PlanKey> requiredPlans(Configuration configuration) {
        Set<PlanKey> required = new HashSet<>();
        for (PipelineSpec pipeline : configuration.manifest().pipelines()) {
            required.add(new PlanKey(pipeline.modelVersion(), pipeline.adapter()));
        }
        return required;
    }

    private Set<Identity> changedModelVersions(
            Configuration configuration,
            LinkCosts links,
            Set<PlanKey> required,
            Map<Identity, List<Engine>> engines) {
        Set<Identity> changed = new HashSet<>();
        for (PlanKey key : required) {
            Identity model = key.modelVersion();
            List<Engine> holders = engines.getOrDefault(model, List.of());
            int signature =
                    Objects.hash(
                            engineSignature(holders),
                            links.signature(),
                            linkSignature(holders),
                            configuration.modelVersion(model));
            Integer previous = mSignatures.put(model, signature);
            if (previous == null || previous != signature) {
                changed.add(model);
            }
        }
        return changed;
    }

    private int engineSignature(List<Engine> engines) {
        int signature = 1;
        for (Engine engine : engines) {
            int share = (int) (mSlowStart.capacityShare(engine.id()) * 1_000);
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
                signature = 31 * signature + delayDoublings(from, to);
            }
        }
        return signature;
    }

    private FlowPlan computePlan(
            Configuration configuration, LinkCosts links, PlanKey key, List<Engine> holders) {
        Optional<ModelVersionSpec> model = configuration.modelVersion(key.modelVersion());
        List<Engine> engines = holders.stream().filter(engine -> matches(engine, key)).toList();
        FlowPlan plan =
                new ModelGraph(
                                model.orElseThrow(),
                                engines,
                                links,
                                new EngineCapacity(mSlowStart::capacityShare),
                                this::linkShare)
                        .solve();
        sLogger.atInfo().log(
                "route: flow plan of %s carries %d of %d tokens/s over %d engines",
                key.modelVersion(),
                (long) plan.tokensPerSecond(),
                (long) plan.boundTokensPerSecond(),
                engines.size());
        return plan;
    }

    private static boolean matches(Engine engine, PlanKey key) {
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
        return Math.pow(0.5, delayDoublings(from, to));
    }

    /**
     * Returns how many times a learnt delay doubles the minimum counted delay, at most 6. Small
     * changes of a delay thus cause no new plan.
     */
    private int delayDoublings(Identity from, Identity to) {
        long multiple = from.equals(to) ? 0 : mDelays.delayNs(from, to) / MIN_DELAY_NS;
        int doublings = Long.SIZE - Long.numberOfLeadingZeros(multiple);
        return Math.min(MAX_DELAY_DOUBLINGS, doublings);
    }
}
