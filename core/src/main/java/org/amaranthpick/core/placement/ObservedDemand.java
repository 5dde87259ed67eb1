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

/** Demand worked out from what engines report: how busy the holders of a model version are. */
public final class ObservedDemand implements DemandView {
    private static final double QUEUE_SECONDS = 10;

    private final Blackboard mBoard;
    private final ConfigurationView mConfiguration;
    private long mChanges = -1;
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
        long changes = mBoard.upstreams().changes();
        if (changes != mChanges) {
            mChanges = changes;
            mTokensPerSecond = mConfiguration.current().map(this::compute).orElse(Map.of());
        }
        return mTokensPerSecond.getOrDefault(modelVersion, 0.0);
    }

    private Map<Identity, Double> compute(Configuration configuration) {
        Map<Identity, Double> layerTokens = new HashMap<>();
        mBoard.upstreams().forEach((id, seen) -> add(configuration, seen, layerTokens));
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
            UpstreamObservation seen,
            Map<Identity, Double> layerTokens) {
        Optional<AcceleratorSpec> accelerator =
                configuration.upstream(seen.upstream()).flatMap(UpstreamSpec::accelerator);
        UpstreamStatus status = seen.status();
        int layers = status.holdings().stream().mapToInt(h -> h.layers().size()).sum();
        if (accelerator.isEmpty() || layers == 0) {
            return;
        }
        double busy = busyShare(accelerator.get(), status);
        double rate = accelerator.get().decodeLayerTokensPerSecond() * busy;
        for (UpstreamSpec.Holding holding : status.holdings()) {
            double share = (double) holding.layers().size() / layers;
            layerTokens.merge(holding.modelVersion(), rate * share, Double::sum);
        }
    }

    private static double busyShare(AcceleratorSpec accelerator, UpstreamStatus status) {
        double streams = (double) status.runningStreams() / Math.max(1, accelerator.maxStreams());
        double prefill = Math.max(1, accelerator.prefillLayerTokensPerSecond() * QUEUE_SECONDS);
        int layers = status.holdings().stream().mapToInt(h -> h.layers().size()).sum();
        double queue = status.queuedTokens() * (double) layers / prefill;
        return Math.min(1, Math.max(0, streams)) + Math.min(1, Math.max(0, queue));
    }
}
