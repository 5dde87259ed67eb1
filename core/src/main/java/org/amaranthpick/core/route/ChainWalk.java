package org.amaranthpick.core.route;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.amaranthpick.core.manifest.LayerRange;

/** Walk over the layers that takes any engine holding the next one; shared by baselines. */
final class ChainWalk {
    private static final int TRIES = 16;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final EngineDirectory mDirectory;
    private final ToIntFunction<Integer> mPick;

    /**
     * Creates a walk.
     *
     * @param directory engines that may take work
     * @param pick picks an index below the number given
     */
    ChainWalk(EngineDirectory directory, ToIntFunction<Integer> pick) {
        mDirectory = directory;
        mPick = pick;
    }

    ChainDecision choose(ChainRequest request) {
        List<Engine> engines =
                mDirectory
                        .engines(request.configuration(), request.model().id(), request.adapter())
                        .stream()
                        .filter(engine -> !request.excluded().contains(engine.id()))
                        .toList();
        for (int i = 0; i < TRIES; i++) {
            Optional<List<Hop>> hops = walk(engines, request.model().layers());
            if (hops.isPresent()) {
                Chain chain = new Chain(request.model().id(), hops.get());
                ChainDecision.Candidate candidate =
                        new ChainDecision.Candidate(chain, Duration.ZERO);
                return new ChainDecision.Chosen(chain, Duration.ZERO, List.of(candidate));
            }
        }
        return new ChainDecision.NoChain(
                ChainText.gap(request.model(), engines), Optional.of(RETRY_AFTER));
    }

    private Optional<List<Hop>> walk(List<Engine> engines, int layers) {
        List<Hop> hops = new ArrayList<>();
        int next = 0;
        while (next < layers) {
            int from = next;
            List<Engine> open =
                    engines.stream()
                            .filter(e -> e.layers().from() <= from && from < e.layers().to())
                            .filter(e -> hops.stream().noneMatch(h -> h.upstream().equals(e.id())))
                            .toList();
            if (open.isEmpty()) {
                return Optional.empty();
            }
            Engine engine = open.get(mPick.applyAsInt(open.size()));
            int to = Math.min(layers, engine.layers().to());
            hops.add(new Hop(engine.id(), new LayerRange(from, to), new KvSource.Compute()));
            next = to;
        }
        return Optional.of(hops);
    }
}
