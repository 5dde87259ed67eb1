package org.amaranthpick.core.placement;

/**
 * Throughput of one model version over one set of engines that hold nodes of its layer tree. The
 * flow through a node is its own engines' plus the smaller of its halves' flows, which equals the
 * maximum flow of the layer graph.
 */
final class LayerFlow {
    private static final int NONE = -1;

    private final LayerTree mTree;
    private final double[] mOwn;
    private final int[] mOwnCount;
    private final double[] mFlow;
    private final int[] mChains;

    LayerFlow(LayerTree tree) {
        mTree = tree;
        mOwn = new double[tree.size()];
        mOwnCount = new int[tree.size()];
        mFlow = new double[tree.size()];
        mChains = new int[tree.size()];
    }

    /** Adds an engine's share to a node. */
    void add(int node, double tokensPerSecond) {
        mOwn[node] += tokensPerSecond;
        mOwnCount[node]++;
        update(node);
    }

    /** Takes an engine's share away from a node. */
    void remove(int node, double tokensPerSecond) {
        mOwnCount[node]--;
        mOwn[node] = mOwnCount[node] == 0 ? 0 : mOwn[node] - tokensPerSecond;
        update(node);
    }

    private void update(int start) {
        for (int node = start; node != NONE; node = mTree.parent(node)) {
            double below = 0;
            int chainsBelow = 0;
            if (!mTree.isLeaf(node)) {
                int left = mTree.left(node);
                int right = mTree.right(node);
                below = Math.min(mFlow[left], mFlow[right]);
                chainsBelow = Math.min(mChains[left], mChains[right]);
            }
            mFlow[node] = mOwn[node] + below;
            mChains[node] = mOwnCount[node] + chainsBelow;
        }
    }

    /** Returns the flow through the whole model, in tokens per second. */
    double total() {
        return mFlow[LayerTree.ROOT];
    }

    /** Returns the number of chains that share no engine. */
    int chains() {
        return mChains[LayerTree.ROOT];
    }

    /** Tells whether every layer of a node is held. */
    boolean covers(int node) {
        return mChains[node] > 0;
    }

    /** Counts the layers that no engine holds. */
    int uncovered() {
        return uncovered(LayerTree.ROOT);
    }

    private int uncovered(int node) {
        if (mChains[node] > 0) {
            return 0;
        }
        if (mTree.isLeaf(node)) {
            return 1;
        }
        return uncovered(mTree.left(node)) + uncovered(mTree.right(node));
    }

    /**
     * Chooses the node where an engine helps most.
     *
     * @param layerTokensPerSecond speed of the engine
     * @param maxLayers layers that fit in its memory, 1 or more
     * @return node of at most {@code maxLayers} layers
     */
    int bestNode(double layerTokensPerSecond, int maxLayers) {
        if (mChains[LayerTree.ROOT] == 0) {
            return firstUncovered(LayerTree.ROOT, maxLayers);
        }
        return best(LayerTree.ROOT, layerTokensPerSecond, maxLayers).node();
    }

    private int firstUncovered(int node, int maxLayers) {
        int current = node;
        while (!mTree.isLeaf(current)) {
            int layers = mTree.layers(current);
            if (layers <= maxLayers && uncovered(current) == layers) {
                return current;
            }
            int left = mTree.left(current);
            current = mChains[left] == 0 ? left : mTree.right(current);
        }
        return current;
    }

    private Gain best(int node, double layerTokensPerSecond, int maxLayers) {
        boolean fits = mTree.layers(node) <= maxLayers;
        Gain here = new Gain(node, fits ? layerTokensPerSecond / mTree.layers(node) : -1);
        if (mTree.isLeaf(node)) {
            return here;
        }
        int left = mTree.left(node);
        int right = mTree.right(node);
        int weaker = mFlow[left] <= mFlow[right] ? left : right;
        Gain child = best(weaker, layerTokensPerSecond, maxLayers);
        double gap = Math.abs(mFlow[left] - mFlow[right]);
        Gain below = new Gain(child.node(), Math.min(gap, child.tokensPerSecond()));
        return below.tokensPerSecond() > here.tokensPerSecond() ? below : here;
    }

    private record Gain(int node, double tokensPerSecond) {}
}
