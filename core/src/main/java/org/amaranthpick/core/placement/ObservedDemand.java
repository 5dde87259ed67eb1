package org.amaranthpick.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.upstream.UpstreamStatus;

/** Demand derived from engine reports: the utilization of the engines that hold a model version. */
public final class ObservedDemand implements DemandView {
    /** Seconds of prefill in an engine's queue that count as full utilization. */
    private static final double FULL_QUEUE_SECONDS = 10;

    private final Blackboard mBoard;
    private final ConfigurationView mConfiguration;
    private long mBoardChanges = -1;
    private Map<Identity, Double> mTokensPerSecond = Map.of();

    /**
     * Creates the view.
     *
     * @param board blackboard with the observations
     * @param configuration configuration in force
     */
    public ObservedDemand(Blackboard board, ConfigurationView configuration) {
        mBoard = board;
        mConfiguration = configuration;
    }

    @Override
    public synchronized double tokensPerSecond(Identity modelVersion) {
        long changes = mBoard.upstreams().changeCount();
        if (changes != mBoardChanges) {
            mBoardChanges = changes;
            mTokensPerSecond = mConfiguration.current().map(this::compute).orElse(Map.of());
        }
        return mTokensPerSecond.getOrDefault(modelVersion, 0.0);
    }

    private Map<Identity, Double> compute(Configuration configuration) {
        Map<Identity, Double> layerTokens = new HashMap<>();
        mBoard.upstreams()
                .forEach((id, observation) -> add(configuration, observation, layerTokens));
        Map<Identity, Double> demand = new HashMap<>();
        layerTokens.forEach(
                (id, sum) ->
                        configuration
                                .modelVersion(id)
                                .ifPresent(model -> demand.put(id, sum / model.layers())));
        return demand;
    }

    private static void add(
            Configuration configuration,
            UpstreamObservation observation,
            Map<Identity, Double> layerTokens) {
        Optional<AcceleratorSpec> accelerator =
                configuration.upstream(observation.upstream()).flatMap(UpstreamSpec::accelerator);
        UpstreamStatus status = observation.status();
        int layers = status.holdings().stream().mapToInt(h -> h.layers().size()).sum();
        if (accelerator.isEmpty() || layers == 0) {
            return;
        }
        double utilization = utilization(accelerator.get(), status);
        double rate = accelerator.get().decodeLayerTokensPerSecond() * utilization;
        for (UpstreamSpec.Holding holding : status.holdings()) {
            double share = (double) holding.layers().size() / layers;
            layerTokens.merge(holding.modelVersion(), rate * share, Double::sum);
        }
    }

    /** Returns the share of streams in use plus the share of a full queue, from 0 to 2. */
    private static double utilization(AcceleratorSpec accelerator, UpstreamStatus status) {
        double streamShare =
                (double) status.runningStreams() / Math.max(1, accelerator.maxStreams());
        double fullQueueTokens =
                Math.max(1, accelerator.prefillLayerTokensPerSecond() * FULL_QUEUE_SECONDS);
        int layers = status.holdings().stream().mapToInt(h -> h.layers().size()).sum();
        double queueShare = status.queuedTokens() * (double) layers / fullQueueTokens;
        return Math.min(1, Math.max(0, streamShare)) + Math.min(1, Math.max(0, queueShare));
    }
}
