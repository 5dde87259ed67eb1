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

/** Facade of the package. Provides the choice of chains and service instances of one daemon. */
public final class Routing {
    private final FlowChainChooser mChainChooser;
    private final FlowPlanController mPlanController;
    private final LeavingUpstreamMonitor mLeavingMonitor;
    private final LeastLoadedServiceChooser mServiceChooser;

    /**
     * Environment of the routing components.
     *
     * @param domain failure domain of this daemon
     * @param board blackboard with upstream observations and routing holds
     * @param configuration configuration in force
     * @param scheduler clock
     * @param seed seed of the random choices
     * @param invariants receiver of invariant checks
     */
    public record Context(
            Identity domain,
            Blackboard board,
            ConfigurationView configuration,
            Scheduler scheduler,
            long seed,
            Invariants invariants) {}

    /**
     * Creates the routing components.
     *
     * @param context environment
     * @param ejection ejection of upstreams that fail too often
     * @param slowStart capacity shares of upstreams in slow start
     * @param prefixes index of the prompt prefixes cached by engines
     */
    public Routing(
            Context context, OutlierEjection ejection, SlowStart slowStart, PrefixIndex prefixes) {
        EngineDirectory directory =
                new EngineDirectory(context.board(), context.configuration(), ejection::ejected);
        DelayEstimator delays = new DelayEstimator(context.scheduler());
        InFlightLoad inFlight = new InFlightLoad(context.scheduler());
        mPlanController =
                new FlowPlanController(directory, context.configuration(), slowStart, delays);
        mLeavingMonitor =
                new LeavingUpstreamMonitor(
                        context.board(),
                        context.configuration(),
                        context.scheduler(),
                        context.invariants());
        FirstTokenPredictor predictor =
                new FirstTokenPredictor(
                        context.domain(), inFlight, delays, prefixes, context.scheduler());
        mChainChooser =
                new FlowChainChooser(
                        context,
                        directory,
                        mPlanController,
                        predictor,
                        new ChainFeedbackRecorder(
                                context, directory, inFlight, delays, prefixes, ejection),
                        mLeavingMonitor);
        mServiceChooser = new LeastLoadedServiceChooser(context, directory, mLeavingMonitor);
    }

    /**
     * Returns the chain chooser.
     *
     * @return chooser that samples the flow plan and compares predicted latencies
     */
    public ChainChooser chainChooser() {
        return mChainChooser;
    }

    /**
     * Returns the receiver of the progress of attempts.
     *
     * @return feedback
     */
    public ChainFeedback feedback() {
        return mChainChooser.feedback();
    }

    /**
     * Returns the chooser of service instances.
     *
     * @return chooser
     */
    public ServiceChooser serviceChooser() {
        return mServiceChooser;
    }

    /**
     * Returns the controllers that must be run periodically.
     *
     * @return controllers
     */
    public List<Controller> controllers() {
        return List.of(mPlanController, mLeavingMonitor);
    }

    /**
     * Returns the flow plan of a pipeline.
     *
     * @param modelVersion identity of kind MODEL_VERSION
     * @param adapter adapter of the pipeline, if any
     * @return latest plan, empty if there is none
     */
    public Optional<FlowPlan> plan(Identity modelVersion, Optional<Identity> adapter) {
        return mPlanController.plan(modelVersion, adapter);
    }
}
