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
    private static final double LEAST_RATIO = 0.01;
    private static final double LACK_PENALTY = 1000;

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
        Deque<Move> beyondBest = new ArrayDeque<>();
        double best = score(domain) + LEAST_SCORE_GAIN;
        for (int i = 0; i < MAX_MOVES_PER_DOMAIN; i++) {
            Optional<Move> move = moveOne(engines);
            if (move.isEmpty()) {
                break;
            }
            beyondBest.push(move.get());
            if (score(domain) > best) {
                best = score(domain);
                beyondBest.clear();
            }
        }
        beyondBest.forEach(move -> mDraft.replace(move.engine(), move.before()));
    }

    /** Rates a domain: lack of chains first, then the fair share of the throughput wanted. */
    private double score(Identity domain) {
        double score = 0;
        for (int model = 0; model < mDraft.models().size(); model++) {
            if (!mDraft.models().get(model).retired() && mRanking.concerns(model, domain)) {
                score += value(mRanking.need(model, domain));
            }
        }
        return score;
    }

    private static double value(NeedRanking.Need need) {
        if (need.level() < NeedRanking.THROUGHPUT) {
            double progress = need.level() == NeedRanking.FEW_CHAINS ? need.ratio() : -need.ratio();
            return LACK_PENALTY * (need.level() - NeedRanking.THROUGHPUT) + progress;
        }
        return Math.log(Math.min(1, need.ratio()) + LEAST_RATIO);
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
