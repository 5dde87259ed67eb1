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
import java.util.function.Function;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Incremental planner. What engines hold and is wanted stays; idle engines go where they raise the
 * throughput of the neediest model most; only then are engines moved between models.
 */
public final class LayerTreePlanner implements Planner {
    private static final double KEPT_WEIGHT_SHARE = 0.95;
    private static final double LEAST_REPACK_GAIN = 1;

    @Override
    public Plan plan(PlanInput input) {
        Attempt best = attempt(input);
        if (best.lacking().isEmpty()) {
            return best.result();
        }
        for (PlanInput repacked : List.of(withoutLacking(input, best.lacking()), empty(input))) {
            Attempt next = attempt(repacked);
            if (next.score() > best.score() + LEAST_REPACK_GAIN) {
                best = next;
            }
            if (best.lacking().isEmpty()) {
                break;
            }
        }
        return best.result();
    }

    private static Attempt attempt(PlanInput input) {
        Draft draft = new Draft(input);
        NeedRanking ranking = new NeedRanking(draft, new Wants(input));
        List<EngineView> own = new ArrayList<>();
        for (EngineView engine : input.engines()) {
            if (engine.usable()) {
                keep(draft, engine);
                if (input.mayChange(engine)) {
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
        return new Attempt(input, draft, ranking, own);
    }

    /** Forgets what the planned domains hold of model versions that lack a chain there. */
    private static PlanInput withoutLacking(PlanInput input, Set<Lack> lacking) {
        return changed(
                input,
                engine ->
                        engine.holdings().stream()
                                .filter(
                                        h ->
                                                !lacking.contains(
                                                        new Lack(
                                                                h.modelVersion(), engine.domain())))
                                .toList());
    }

    /** Forgets what the planned domains hold. */
    static PlanInput empty(PlanInput input) {
        return changed(input, engine -> List.of());
    }

    private static PlanInput changed(
            PlanInput input, Function<EngineView, List<UpstreamSpec.Holding>> holdings) {
        List<EngineView> engines =
                input.engines().stream()
                        .map(e -> input.mayChange(e) ? e.holding(holdings.apply(e)) : e)
                        .toList();
        return new PlanInput(
                engines, input.models(), input.planned(), input.pinned(), input.cutOff());
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

    private record Lack(Identity model, Identity domain) {}

    private record Attempt(
            PlanInput input, Draft draft, NeedRanking ranking, List<EngineView> own) {
        double score() {
            return input.planned().stream()
                    .mapToDouble(domain -> PlanScore.of(draft, ranking, domain))
                    .sum();
        }

        Set<Lack> lacking() {
            Set<Lack> lacking = new HashSet<>();
            for (int model = 0; model < draft.models().size(); model++) {
                for (Identity domain : input.planned()) {
                    if (PlanScore.lacksChain(draft, ranking, model, domain)) {
                        lacking.add(new Lack(draft.models().get(model).model().id(), domain));
                    }
                }
            }
            return lacking;
        }

        Plan result() {
            Map<Identity, List<UpstreamSpec.Holding>> targets = new HashMap<>();
            own.forEach(engine -> targets.put(engine.id(), AdapterFit.holdings(draft, engine)));
            Map<Identity, Double> flows = new HashMap<>();
            for (int model = 0; model < draft.models().size(); model++) {
                flows.put(draft.models().get(model).model().id(), draft.throughput(model));
            }
            return new Plan(targets, flows);
        }
    }
}
