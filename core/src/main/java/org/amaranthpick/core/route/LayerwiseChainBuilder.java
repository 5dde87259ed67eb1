package org.amaranthpick.core.route;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.amaranthpick.core.manifest.LayerRange;

/**
 * Builds a chain layer by layer from any engine that holds the next layer, without estimating
 * costs. Shared by the baseline choosers.
 */
final class LayerwiseChainBuilder {
    private static final int MAX_TRIES = 16;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final EngineDirectory mDirectory;
    private final ToIntFunction<Integer> mIndexChooser;

    /**
     * Creates a builder.
     *
     * @param directory engines that accept work
     * @param indexChooser chooses an index below the given number
     */
    LayerwiseChainBuilder(EngineDirectory directory, ToIntFunction<Integer> indexChooser) {
        mDirectory = directory;
        mIndexChooser = indexChooser;
    }

    ChainDecision choose(ChainRequest request) {
        List<Engine> engines =
                mDirectory
                        .engines(request.configuration(), request.model().id(), request.adapter())
                        .stream()
                        .filter(engine -> !request.excludedUpstreams().contains(engine.id()))
                        .toList();
        for (int i = 0; i < MAX_TRIES; i++) {
            Optional<List<Hop>> hops = tryBuild(engines, request.model().layers());
            if (hops.isPresent()) {
                Chain chain = new Chain(request.model().id(), hops.get());
                ChainDecision.Candidate candidate =
                        new ChainDecision.Candidate(chain, Duration.ZERO);
                return new ChainDecision.Chosen(chain, Duration.ZERO, List.of(candidate));
            }
        }
        return new ChainDecision.NoChain(
                NoChainReason.describe(request.model(), engines), Optional.of(RETRY_AFTER));
    }

    private Optional<List<Hop>> tryBuild(List<Engine> engines, int layers) {
        List<Hop> hops = new ArrayList<>();
        int nextLayer = 0;
        while (nextLayer < layers) {
            int from = nextLayer;
            List<Engine> holders =
                    engines.stream()
                            .filter(e -> e.layers().from() <= from && from < e.layers().to())
                            .filter(e -> hops.stream().noneMatch(h -> h.upstream().equals(e.id())))
                            .toList();
            if (holders.isEmpty()) {
                return Optional.empty();
            }
            Engine engine = holders.get(mIndexChooser.applyAsInt(holders.size()));
            int to = Math.min(layers, engine.layers().to());
            hops.add(new Hop(engine.id(), new LayerRange(from, to), new KvSource.Compute()));
            nextLayer = to;
        }
        return Optional.of(hops);
    }
}
