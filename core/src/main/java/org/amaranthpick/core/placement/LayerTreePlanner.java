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
 * Incremental planner. Engines retain the holdings that are still required. Idle engines are placed
 * where they add the most throughput to the model version with the most urgent shortfall. Only then
 * are engines moved between model versions.
 */
public final class LayerTreePlanner implements Planner {
    /** Share of an engine's memory that retained weights may take. */
    private static final double RETAINED_WEIGHT_SHARE = 0.95;

    /** Minimum score gain of a plan that discards holdings. */
    private static final double MIN_REPACK_GAIN = 1;

    @Override
    public Plan plan(PlanInput input) {
        Attempt best = attempt(input);
        if (best.missingChains().isEmpty()) {
            return best.toPlan();
        }
        for (PlanInput repacked :
                List.of(
                        withoutIncompleteModels(input, best.missingChains()),
                        withoutHoldings(input))) {
            Attempt next = attempt(repacked);
            if (next.score() > best.score() + MIN_REPACK_GAIN) {
                best = next;
            }
            if (best.missingChains().isEmpty()) {
                break;
            }
        }
        return best.toPlan();
    }

    private static Attempt attempt(PlanInput input) {
        PlanDraft draft = new PlanDraft(input);
        ShortfallRanking ranking = new ShortfallRanking(draft, new ThroughputTargets(input));
        List<EngineView> changeable = new ArrayList<>();
        for (EngineView engine : input.engines()) {
            if (engine.usable()) {
                retainHoldings(draft, engine);
                if (input.mayChange(engine)) {
                    changeable.add(engine);
                }
            }
        }
        changeable.sort(
                Comparator.comparingLong(EngineView::memoryBytes)
                        .thenComparingDouble(EngineView::layerTokensPerSecond)
                        .reversed()
                        .thenComparing(EngineView::id));
        fillIdleEngines(draft, ranking, changeable);
        shareEngines(draft, ranking, changeable);
        new Rebalancer(draft, ranking).rebalance(changeable);
        return new Attempt(input, draft, ranking, changeable);
    }

    /**
     * Returns the input without the holdings of model versions that lack a chain in their domain.
     */
    private static PlanInput withoutIncompleteModels(PlanInput input, Set<MissingChain> missing) {
        return withHoldings(
                input,
                engine ->
                        engine.holdings().stream()
                                .filter(
                                        h ->
                                                !missing.contains(
                                                        new MissingChain(
                                                                h.modelVersion(), engine.domain())))
                                .toList());
    }

    /** Returns the input without the holdings of the engines that may change. */
    static PlanInput withoutHoldings(PlanInput input) {
        return withHoldings(input, engine -> List.of());
    }

    private static PlanInput withHoldings(
            PlanInput input, Function<EngineView, List<UpstreamSpec.Holding>> holdings) {
        List<EngineView> engines =
                input.engines().stream()
                        .map(e -> input.mayChange(e) ? e.withHoldings(holdings.apply(e)) : e)
                        .toList();
        return new PlanInput(
                engines,
                input.models(),
                input.plannedDomains(),
                input.pinnedEngines(),
                input.cutOffDomains());
    }

    private static void retainHoldings(PlanDraft draft, EngineView engine) {
        long bytes = 0;
        for (UpstreamSpec.Holding holding : engine.holdings()) {
            OptionalInt node = draft.findNode(holding);
            OptionalInt model = draft.findModel(holding.modelVersion());
            if (node.isPresent() && model.isPresent()) {
                PlanDraft.PlacedNode placed =
                        new PlanDraft.PlacedNode(model.getAsInt(), node.getAsInt());
                bytes += draft.weightBytes(placed);
                if (bytes <= engine.memoryBytes() * RETAINED_WEIGHT_SHARE) {
                    draft.add(engine, placed);
                }
            }
        }
    }

    private static void fillIdleEngines(
            PlanDraft draft, ShortfallRanking ranking, List<EngineView> changeable) {
        RackSpread racks = new RackSpread(changeable, draft);
        List<EngineView> idle =
                new ArrayList<>(
                        changeable.stream().filter(e -> draft.placedNodes(e).isEmpty()).toList());
        while (!idle.isEmpty()) {
            EngineView first = idle.get(0);
            Optional<PlanDraft.PlacedNode> node = ranking.mostNeededNode(first, shortfall -> true);
            EngineView chosen = node.map(p -> racks.choose(idle, p)).orElse(first);
            idle.remove(chosen);
            node.ifPresent(p -> draft.add(chosen, p));
            node.ifPresent(p -> racks.addHolder(chosen, p));
        }
    }

    /** Places a second model version on engines where a model version lacks a chain. */
    private static void shareEngines(
            PlanDraft draft, ShortfallRanking ranking, List<EngineView> changeable) {
        Set<Identity> shared = new HashSet<>();
        boolean changed = true;
        while (changed) {
            changed = false;
            for (EngineView engine : changeable) {
                if (shared.contains(engine.id())) {
                    continue;
                }
                Optional<PlanDraft.PlacedNode> node =
                        ranking.mostNeededNode(
                                engine,
                                shortfall -> shortfall.level() < ShortfallRanking.THROUGHPUT);
                if (node.isPresent() && !holds(draft, engine, node.get().model())) {
                    draft.add(engine, node.get());
                    shared.add(engine.id());
                    changed = true;
                }
            }
        }
    }

    private static boolean holds(PlanDraft draft, EngineView engine, int model) {
        return draft.placedNodes(engine).stream().anyMatch(p -> p.model() == model);
    }

    private record MissingChain(Identity model, Identity domain) {}

    private record Attempt(
            PlanInput input,
            PlanDraft draft,
            ShortfallRanking ranking,
            List<EngineView> changeable) {
        double score() {
            return input.plannedDomains().stream()
                    .mapToDouble(domain -> PlanScore.of(draft, ranking, domain))
                    .sum();
        }

        Set<MissingChain> missingChains() {
            Set<MissingChain> missing = new HashSet<>();
            for (int model = 0; model < draft.models().size(); model++) {
                for (Identity domain : input.plannedDomains()) {
                    if (PlanScore.lacksChain(draft, ranking, model, domain)) {
                        missing.add(
                                new MissingChain(draft.models().get(model).model().id(), domain));
                    }
                }
            }
            return missing;
        }

        Plan toPlan() {
            Map<Identity, List<UpstreamSpec.Holding>> targets = new HashMap<>();
            changeable.forEach(
                    engine -> targets.put(engine.id(), AdapterSelector.holdings(draft, engine)));
            Map<Identity, Double> flows = new HashMap<>();
            for (int model = 0; model < draft.models().size(); model++) {
                flows.put(draft.models().get(model).model().id(), draft.throughput(model));
            }
            return new Plan(targets, flows);
        }
    }
}
