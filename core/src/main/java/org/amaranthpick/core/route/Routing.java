package org.amaranthpick.core.route;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.PrefixIndex;
import org.amaranthpick.core.retry.OutlierEjection;
import org.amaranthpick.core.retry.SlowStart;
import org.amaranthpick.core.time.Scheduler;

/** Facade of the package: the choice of chains and service instances of one daemon. */
public final class Routing {
    private final FlowChainChooser mChooser;
    private final FlowPlans mPlans;
    private final LeavingWatch mLeaving;
    private final PredictedServiceChooser mServices;

    /**
     * What routing works with.
     *
     * @param domain failure domain of this daemon
     * @param board blackboard
     * @param configuration configuration in force
     * @param scheduler clock
     * @param seed seed of the random choices
     * @param invariants checks
     */
    public record Context(
            Identity domain,
            Blackboard board,
            ConfigurationView configuration,
            Scheduler scheduler,
            long seed,
            Invariants invariants) {}

    /**
     * Assembles the parts.
     *
     * @param context what routing works with
     * @param ejection upstreams taken out of the choice
     * @param slowStart shares of upstreams that warm up
     * @param prefixes prompt prefixes held by engines
     */
    public Routing(
            Context context, OutlierEjection ejection, SlowStart slowStart, PrefixIndex prefixes) {
        EngineDirectory directory =
                new EngineDirectory(context.board(), context.configuration(), ejection::ejected);
        DelayEstimator delays = new DelayEstimator(context.scheduler());
        OwnLoad ownLoad = new OwnLoad(context.scheduler());
        mPlans = new FlowPlans(directory, context.configuration(), slowStart, delays);
        mLeaving =
                new LeavingWatch(
                        context.board(),
                        context.configuration(),
                        context.scheduler(),
                        context.invariants());
        FirstTokenPredictor predictor =
                new FirstTokenPredictor(
                        context.domain(), ownLoad, delays, prefixes, context.scheduler());
        mChooser =
                new FlowChainChooser(
                        context,
                        directory,
                        mPlans,
                        predictor,
                        new ChainLearning(context, directory, ownLoad, delays, prefixes, ejection),
                        mLeaving);
        mServices = new PredictedServiceChooser(context, directory, mLeaving);
    }

    /**
     * Returns the chain chooser.
     *
     * @return chooser by flow share and predicted time to the first token
     */
    public ChainChooser chooser() {
        return mChooser;
    }

    /**
     * Returns the receiver of what became of chosen chains.
     *
     * @return feedback
     */
    public ChainFeedback feedback() {
        return mChooser.learning();
    }

    /**
     * Returns the chooser of service instances.
     *
     * @return chooser
     */
    public ServiceChooser services() {
        return mServices;
    }

    /**
     * Returns the controllers to run.
     *
     * @return controllers
     */
    public List<Controller> controllers() {
        return List.of(mPlans, mLeaving);
    }

    /**
     * Finds the flow plan of a pipeline.
     *
     * @param modelVersion identity of kind MODEL_VERSION
     * @param adapter adapter of the pipeline, if any
     * @return newest plan, if there is one
     */
    public Optional<FlowPlan> plan(Identity modelVersion, Optional<Identity> adapter) {
        return mPlans.plan(modelVersion, adapter);
    }
}
