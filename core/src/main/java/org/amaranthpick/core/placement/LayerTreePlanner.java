package org.amaranthpick.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Incremental planner. What engines hold and is wanted stays; idle engines go where they raise the
 * throughput of the neediest model most; only then are engines moved between models.
 */
public final class LayerTreePlanner implements Planner {
    private static final double KEPT_WEIGHT_SHARE = 0.95;

    @Override
    public Plan plan(PlanInput input) {
        Draft draft = new Draft(input);
        NeedRanking ranking = new NeedRanking(draft, new Wants(input));
        List<EngineView> own = new ArrayList<>();
        for (EngineView engine : input.engines()) {
            if (engine.usable()) {
                keep(draft, engine);
                if (input.planned().contains(engine.domain())) {
                    own.add(engine);
                }
            }
        }
        own.sort(
                Comparator.comparingLong(EngineView::memoryBytes)
                        .thenComparingDouble(EngineView::layerTokensPerSecond)
                        .reversed()
                        .thenComparing(EngineView::id));
        fill(draft, ranking, own);
        shareEngines(draft, ranking, own);
        new Rebalancer(draft, ranking).run(own);
        return result(draft, ranking, own);
    }

    private static void keep(Draft draft, EngineView engine) {
        long bytes = 0;
        for (UpstreamSpec.Holding holding : engine.holdings()) {
            OptionalInt node = draft.node(holding);
            OptionalInt model = draft.model(holding.modelVersion());
            if (node.isPresent() && model.isPresent()) {
                Draft.Placed placed = new Draft.Placed(model.getAsInt(), node.getAsInt());
                bytes += draft.bytes(placed);
                if (bytes <= engine.memoryBytes() * KEPT_WEIGHT_SHARE) {
                    draft.add(engine, placed);
                }
            }
        }
    }

    private static void fill(Draft draft, NeedRanking ranking, List<EngineView> own) {
        RackSpread racks = new RackSpread(own, draft);
        List<EngineView> idle =
                new ArrayList<>(own.stream().filter(e -> draft.placed(e).isEmpty()).toList());
        while (!idle.isEmpty()) {
            EngineView first = idle.get(0);
            Optional<Draft.Placed> wanted = ranking.neediest(first, need -> true);
            EngineView chosen = wanted.map(p -> racks.choose(idle, p)).orElse(first);
            idle.remove(chosen);
            wanted.ifPresent(p -> draft.add(chosen, p));
            wanted.ifPresent(p -> racks.note(chosen, p));
        }
    }

    /** Gives engines a second model version where a model version lacks a chain. */
    private static void shareEngines(Draft draft, NeedRanking ranking, List<EngineView> own) {
        Set<Identity> shared = new HashSet<>();
        boolean moved = true;
        while (moved) {
            moved = false;
            for (EngineView engine : own) {
                if (shared.contains(engine.id())) {
                    continue;
                }
                Optional<Draft.Placed> wanted =
                        ranking.neediest(engine, need -> need.level() < NeedRanking.THROUGHPUT);
                if (wanted.isPresent() && !holds(draft, engine, wanted.get().model())) {
                    draft.add(engine, wanted.get());
                    shared.add(engine.id());
                    moved = true;
                }
            }
        }
    }

    private static boolean holds(Draft draft, EngineView engine, int model) {
        return draft.placed(engine).stream().anyMatch(p -> p.model() == model);
    }

    private static Plan result(Draft draft, NeedRanking ranking, List<EngineView> own) {
        Map<Identity, List<UpstreamSpec.Holding>> targets = new HashMap<>();
        for (EngineView engine : own) {
            targets.put(engine.id(), AdapterFit.holdings(draft, engine));
        }
        Map<Identity, Double> flows = new HashMap<>();
        for (int model = 0; model < draft.models().size(); model++) {
            flows.put(draft.models().get(model).model().id(), ranking.throughput(model));
        }
        return new Plan(targets, flows);
    }
}
