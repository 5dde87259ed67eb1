package org.amaranthpick.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/**
 * Moves engines from model versions with spare throughput to those with a shortfall, a few per plan
 * and only where the gain is clear.
 */
final class Rebalancer {
    private static final int MAX_MOVES_PER_DOMAIN = 4;
    private static final double MIN_RATIO_GAIN = 1.2;

    private static final double MIN_SCORE_GAIN = 0.05;

    private final PlanDraft mDraft;
    private final ShortfallRanking mRanking;

    Rebalancer(PlanDraft draft, ShortfallRanking ranking) {
        mDraft = draft;
        mRanking = ranking;
    }

    /**
     * Moves engines.
     *
     * @param engines engines that may move
     */
    void rebalance(List<EngineView> engines) {
        engines.stream()
                .map(EngineView::domain)
                .distinct()
                .sorted()
                .forEach(
                        domain -> {
                            List<EngineView> local =
                                    engines.stream()
                                            .filter(e -> e.domain().equals(domain))
                                            .toList();
                            rebalanceDomain(local);
                        });
    }

    private void rebalanceDomain(List<EngineView> engines) {
        Identity domain = engines.get(0).domain();
        engines.forEach(this::moveToUncoveredLayers);
        Deque<Move> movesSinceBest = new ArrayDeque<>();
        double best = PlanScore.of(mDraft, mRanking, domain) + MIN_SCORE_GAIN;
        for (int i = 0; i < MAX_MOVES_PER_DOMAIN; i++) {
            Optional<Move> move = applyNextMove(engines);
            if (move.isEmpty()) {
                break;
            }
            movesSinceBest.push(move.get());
            if (PlanScore.of(mDraft, mRanking, domain) > best) {
                best = PlanScore.of(mDraft, mRanking, domain);
                movesSinceBest.clear();
            }
        }
        movesSinceBest.forEach(move -> mDraft.setNodes(move.engine(), move.before()));
    }

    /**
     * Moves an engine to uncovered layers of its model version if chains span domains and a
     * higher-ranked domain holds the same layers.
     */
    private void moveToUncoveredLayers(EngineView engine) {
        List<PlanDraft.PlacedNode> before = mDraft.placedNodes(engine);
        if (before.size() != 1
                || !mDraft.isHeldByHigherRankedDomain(before.get(0), engine.domain())) {
            return;
        }
        int model = before.get(0).model();
        int uncovered = mDraft.pooledFlow(model).uncovered();
        if (uncovered == 0 || !mRanking.spansDomains(model)) {
            return;
        }
        mDraft.setNodes(engine, List.of());
        mDraft.add(engine, mRanking.chooseNode(engine, model));
        if (mDraft.pooledFlow(model).uncovered() >= uncovered) {
            mDraft.setNodes(engine, before);
        }
    }

    private Optional<Move> applyNextMove(List<EngineView> engines) {
        List<Move> moves = new ArrayList<>();
        for (EngineView engine : engines) {
            candidateMove(engine).ifPresent(moves::add);
        }
        moves.sort(
                Comparator.comparingDouble(Move::donorRatio)
                        .reversed()
                        .thenComparing(move -> move.engine().id()));
        return moves.stream().filter(this::tryMove).findFirst();
    }

    private Optional<Move> candidateMove(EngineView engine) {
        List<PlanDraft.PlacedNode> before = mDraft.placedNodes(engine);
        if (before.size() != 1) {
            return Optional.empty();
        }
        ShortfallRanking.Shortfall donor =
                mRanking.shortfall(before.get(0).model(), engine.domain());
        if (donor.level() < ShortfallRanking.THROUGHPUT) {
            return Optional.empty();
        }
        return Optional.of(new Move(engine, before, donor.ratio()));
    }

    private boolean tryMove(Move move) {
        EngineView engine = move.engine();
        mDraft.setNodes(engine, List.of());
        ShortfallRanking.Shortfall donor =
                mRanking.shortfall(move.before().get(0).model(), engine.domain());
        Optional<PlanDraft.PlacedNode> target =
                donor.level() < ShortfallRanking.THROUGHPUT
                        ? Optional.empty()
                        : mRanking.mostNeededNode(
                                engine, shortfall -> isWorthwhile(shortfall, donor));
        mDraft.setNodes(engine, target.map(List::of).orElse(move.before()));
        return target.isPresent();
    }

    private static boolean isWorthwhile(
            ShortfallRanking.Shortfall shortfall, ShortfallRanking.Shortfall donorAfter) {
        if (shortfall.model() == donorAfter.model()) {
            return false;
        }
        return shortfall.level() < ShortfallRanking.THROUGHPUT
                || (shortfall.ratio() < 1
                        && donorAfter.ratio() > shortfall.ratio() * MIN_RATIO_GAIN);
    }

    private record Move(EngineView engine, List<PlanDraft.PlacedNode> before, double donorRatio) {}
}
