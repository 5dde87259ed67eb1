package org.amaranthpick.core.layers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * Shortest path over the boundaries of the held layer ranges. A node of the graph is a boundary
 * together with the failure domain of the engine that ends there, so that the work grows with the
 * engines and not with their combinations. Designed for fleets of hundreds of engines, where a
 * daemon with a third of a core searches again after every failure.
 */
final class LayerPathSearch {
    private static final int NONE = -1;

    private final EngineModel mModel;
    private final List<UpstreamEntry> mEngines;
    private final int[] mBoundaries;
    private final int[] mDomainOf;
    private final double[] mEntryMs;
    private final double[] mLayerMs;
    private final double mCrossingMs;
    private final int mDomains;
    private final List<int[]> mHoldersByBoundary = new ArrayList<>();

    /** Cost of the best path to each node, and the last step of that path. */
    private final double[][] mCost;

    private final int[][] mEngine;
    private final int[][] mFromBoundary;
    private final int[][] mFromDomain;

    /** Decides which stages a path may have. */
    interface StageFilter {
        /**
         * Checks whether an engine may run a number of layers.
         *
         * @param engine index of the engine
         * @param layers number of layers
         * @return true if it may
         */
        boolean allows(int engine, int layers);

        /**
         * Checks whether an engine may be the first of a path.
         *
         * @param engine index of the engine
         * @return true if it may
         */
        boolean allowsEntry(int engine);
    }

    /** Costs that do not depend on the engine, in ms per token. */
    record Costs(String localDomain, double remoteEntryMs, double crossingMs) {}

    LayerPathSearch(EngineModel model, List<UpstreamEntry> holders, Costs costs) {
        mModel = model;
        mEngines = holders;
        mCrossingMs = costs.crossingMs();
        mBoundaries = boundaries(holders);
        mDomainOf = new int[holders.size()];
        mLayerMs = new double[holders.size()];
        Map<String, Integer> domains = new HashMap<>();
        for (int i = 0; i < holders.size(); i++) {
            UpstreamEntry engine = holders.get(i);
            mDomainOf[i] = domains.computeIfAbsent(engine.domain(), d -> domains.size());
            mLayerMs[i] = model.stepMs() * model.cardOf(engine).stepFactor() / model.layers();
        }
        mDomains = domains.size();
        mEntryMs = new double[mDomains];
        domains.forEach(
                (domain, index) ->
                        mEntryMs[index] =
                                domain.equals(costs.localDomain()) ? 0 : costs.remoteEntryMs());
        for (int boundary : mBoundaries) {
            mHoldersByBoundary.add(holdersAt(boundary));
        }
        mCost = new double[mBoundaries.length][mDomains];
        mEngine = new int[mBoundaries.length][mDomains];
        mFromBoundary = new int[mBoundaries.length][mDomains];
        mFromDomain = new int[mBoundaries.length][mDomains];
    }

    private static int[] boundaries(List<UpstreamEntry> holders) {
        TreeSet<Integer> boundaries = new TreeSet<>();
        boundaries.add(0);
        for (UpstreamEntry engine : holders) {
            boundaries.add(engine.layers().get().from());
            boundaries.add(engine.layers().get().to());
        }
        return boundaries.stream().mapToInt(Integer::intValue).toArray();
    }

    private int[] holdersAt(int boundary) {
        int[] found = new int[mEngines.size()];
        int count = 0;
        for (int i = 0; i < found.length; i++) {
            LayerRange held = mEngines.get(i).layers().get();
            if (held.from() <= boundary && boundary < held.to()) {
                found[count++] = i;
            }
        }
        return Arrays.copyOf(found, count);
    }

    /**
     * Finds the cheapest path over all layers.
     *
     * @param filter stages that the path may have
     * @return indices and layers of the stages, empty if there is no path
     */
    Optional<List<PathStage>> findCheapest(StageFilter filter) {
        for (double[] costs : mCost) {
            Arrays.fill(costs, Double.POSITIVE_INFINITY);
        }
        int last = Arrays.binarySearch(mBoundaries, mModel.layers());
        if (last < 0) {
            return Optional.empty();
        }
        for (int b = 0; b < last; b++) {
            for (int engine : mHoldersByBoundary.get(b)) {
                extend(b, engine, filter);
            }
        }
        int best = cheapestDomain(last);
        return best == NONE ? Optional.empty() : Optional.of(stages(last, best));
    }

    private void extend(int boundary, int engine, StageFilter filter) {
        int domain = mDomainOf[engine];
        int previous = NONE;
        double base;
        if (boundary == 0) {
            if (!filter.allowsEntry(engine)) {
                return;
            }
            base = mEntryMs[domain];
        } else {
            base = Double.POSITIVE_INFINITY;
            for (int d = 0; d < mDomains; d++) {
                double cost = mCost[boundary][d] + (d == domain ? 0 : mCrossingMs);
                if (cost < base && !pathContains(boundary, d, engine)) {
                    base = cost;
                    previous = d;
                }
            }
            if (previous == NONE) {
                return;
            }
        }
        int heldTo = mEngines.get(engine).layers().get().to();
        for (int to = boundary + 1; to < mBoundaries.length && mBoundaries[to] <= heldTo; to++) {
            int layers = mBoundaries[to] - mBoundaries[boundary];
            if (!filter.allows(engine, layers)) {
                return;
            }
            double cost = base + ChainFinder.STAGE_OVERHEAD_MS + mLayerMs[engine] * layers;
            if (cost < mCost[to][domain]) {
                mCost[to][domain] = cost;
                mEngine[to][domain] = engine;
                mFromBoundary[to][domain] = boundary;
                mFromDomain[to][domain] = previous;
            }
        }
    }

    private boolean pathContains(int boundary, int domain, int engine) {
        int b = boundary;
        int d = domain;
        while (b > 0) {
            if (mEngine[b][d] == engine) {
                return true;
            }
            int previous = mFromBoundary[b][d];
            d = mFromDomain[b][d];
            b = previous;
        }
        return false;
    }

    private int cheapestDomain(int boundary) {
        int best = NONE;
        for (int d = 0; d < mDomains; d++) {
            boolean cheaper = best == NONE || mCost[boundary][d] < mCost[boundary][best];
            if (mCost[boundary][d] < Double.POSITIVE_INFINITY && cheaper) {
                best = d;
            }
        }
        return best;
    }

    private List<PathStage> stages(int boundary, int domain) {
        List<PathStage> stages = new ArrayList<>();
        int b = boundary;
        int d = domain;
        while (b > 0) {
            int from = mFromBoundary[b][d];
            stages.add(
                    new PathStage(
                            mEngine[b][d],
                            new LayerRange(mBoundaries[from], mBoundaries[b]),
                            mLayerMs[mEngine[b][d]] * (mBoundaries[b] - mBoundaries[from])));
            d = mFromDomain[b][d];
            b = from;
        }
        Collections.reverse(stages);
        return stages;
    }

    /**
     * Stage of a path.
     *
     * @param engine index of the engine
     * @param layers layers that it runs
     * @param stepMs time of one token step over these layers, in ms
     */
    record PathStage(int engine, LayerRange layers, double stepMs) {}
}
