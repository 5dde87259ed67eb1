package org.amaranthpick.core.route;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.upstream.UpstreamStatus;

/**
 * Baseline that chooses the chain with the least reported load. Since it ignores work that is not
 * reported yet, all daemons choose the same chain between two reports.
 */
public final class CheapestChainChooser implements ChainChooser {
    private static final double NS_PER_S = 1e9;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final EngineDirectory mDirectory;

    /**
     * Creates a chooser.
     *
     * @param directory engines that accept work
     */
    public CheapestChainChooser(EngineDirectory directory) {
        mDirectory = directory;
    }

    @Override
    public ChainDecision choose(ChainRequest request) {
        Identity model = request.model().id();
        List<Engine> engines =
                mDirectory.engines(request.configuration(), model, request.adapter()).stream()
                        .filter(engine -> !request.excludedUpstreams().contains(engine.id()))
                        .toList();
        ReportedLoadCostModel costModel =
                new ReportedLoadCostModel(new LinkCosts(request.configuration()), request);
        Optional<List<Hop>> hops =
                new ChainSearch(request.model().layers(), costModel).cheapest(engines);
        if (hops.isEmpty()) {
            String reason = "no chain covers all layers of " + model;
            return new ChainDecision.NoChain(reason, Optional.of(RETRY_AFTER));
        }
        Chain chain = new Chain(model, hops.get());
        Duration predicted = Duration.ZERO;
        return new ChainDecision.Chosen(
                chain, predicted, List.of(new ChainDecision.Candidate(chain, predicted)));
    }

    private record ReportedLoadCostModel(LinkCosts links, ChainRequest request)
            implements HopCostModel {
        @Override
        public CostedHop hopCost(Engine engine, LayerRange layers) {
            long queued =
                    engine.observation()
                            .map(UpstreamObservation::status)
                            .map(UpstreamStatus::queuedTokens)
                            .orElse(0L);
            double work = (double) (queued + request.promptTokens()) * layers.size();
            double rate = engine.accelerator().prefillLayerTokensPerSecond();
            Hop hop = new Hop(engine.id(), layers, new KvSource.Compute());
            return new CostedHop(hop, (long) (work / rate * NS_PER_S));
        }

        @Override
        public long linkNs(Identity fromDomain, Identity toDomain) {
            return links.betweenDomains(fromDomain, toDomain).latency().toNanos();
        }
    }
}
