package org.amaranthpick.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/**
 * Moves engines from model versions with throughput to spare to those that lack it, a few per plan
 * and only where the gain is clear.
 */
final class Rebalancer {
    private static final int MAX_MOVES_PER_DOMAIN = 4;
    private static final double LEAST_GAIN = 1.2;

    private static final double LEAST_SCORE_GAIN = 0.05;

    private final Draft mDraft;
    private final NeedRanking mRanking;

    Rebalancer(Draft draft, NeedRanking ranking) {
        mDraft = draft;
        mRanking = ranking;
    }

    /**
     * Moves engines.
     *
     * @param engines engines that may move
     */
    void run(List<EngineView> engines) {
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
                            runDomain(local);
                        });
    }

    private void runDomain(List<EngineView> engines) {
        Identity domain = engines.get(0).domain();
        engines.forEach(this::leaveToOthers);
        Deque<Move> beyondBest = new ArrayDeque<>();
        double best = PlanScore.of(mDraft, mRanking, domain) + LEAST_SCORE_GAIN;
        for (int i = 0; i < MAX_MOVES_PER_DOMAIN; i++) {
            Optional<Move> move = moveOne(engines);
            if (move.isEmpty()) {
                break;
            }
            beyondBest.push(move.get());
            if (PlanScore.of(mDraft, mRanking, domain) > best) {
                best = PlanScore.of(mDraft, mRanking, domain);
                beyondBest.clear();
            }
        }
        beyondBest.forEach(move -> mDraft.replace(move.engine(), move.before()));
    }

    /**
     * Frees an engine for missing layers where a chain spans domains and a higher-ranked domain
     * holds the same layers.
     */
    private void leaveToOthers(EngineView engine) {
        List<Draft.Placed> before = mDraft.placed(engine);
        if (before.size() != 1 || !mDraft.heldAbove(before.get(0), engine.domain())) {
            return;
        }
        int model = before.get(0).model();
        int uncovered = mDraft.pooled(model).uncovered();
        if (uncovered == 0 || !mRanking.spansDomains(model)) {
            return;
        }
        mDraft.replace(engine, List.of());
        mDraft.add(engine, mRanking.place(engine, model));
        if (mDraft.pooled(model).uncovered() >= uncovered) {
            mDraft.replace(engine, before);
        }
    }

    private Optional<Move> moveOne(List<EngineView> engines) {
        List<Move> moves = new ArrayList<>();
        for (EngineView engine : engines) {
            candidate(engine).ifPresent(moves::add);
        }
        moves.sort(
                Comparator.comparingDouble(Move::donorRatio)
                        .reversed()
                        .thenComparing(move -> move.engine().id()));
        return moves.stream().filter(this::tryMove).findFirst();
    }

    private Optional<Move> candidate(EngineView engine) {
        List<Draft.Placed> before = mDraft.placed(engine);
        if (before.size() != 1) {
            return Optional.empty();
        }
        NeedRanking.Need donor = mRanking.need(before.get(0).model(), engine.domain());
        if (donor.level() < NeedRanking.THROUGHPUT) {
            return Optional.empty();
        }
        return Optional.of(new Move(engine, before, donor.ratio()));
    }

    private boolean tryMove(Move move) {
        EngineView engine = move.engine();
        mDraft.replace(engine, List.of());
        NeedRanking.Need donor = mRanking.need(move.before().get(0).model(), engine.domain());
        Optional<Draft.Placed> wanted =
                donor.level() < NeedRanking.THROUGHPUT
                        ? Optional.empty()
                        : mRanking.neediest(engine, need -> gains(need, donor));
        mDraft.replace(engine, wanted.map(List::of).orElse(move.before()));
        return wanted.isPresent();
    }

    private static boolean gains(NeedRanking.Need need, NeedRanking.Need donorAfter) {
        if (need.model() == donorAfter.model()) {
            return false;
        }
        return need.level() < NeedRanking.THROUGHPUT
                || (need.ratio() < 1 && donorAfter.ratio() > need.ratio() * LEAST_GAIN);
    }

    private record Move(EngineView engine, List<Draft.Placed> before, double donorRatio) {}
}
