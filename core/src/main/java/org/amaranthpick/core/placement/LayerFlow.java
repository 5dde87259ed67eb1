package org.amaranthpick.core.placement;

/**
 * Throughput of one model version over one set of engines that hold nodes of its layer tree. The
 * flow through a node is the flow of the engines that hold it plus the smaller flow of its two
 * children, which equals the maximum flow of the layer graph.
 */
final class LayerFlow {
    private static final int NONE = -1;

    private final LayerTree mTree;
    private final double[] mOwnFlow;
    private final int[] mOwnCount;
    private final double[] mFlow;
    private final int[] mChains;

    LayerFlow(LayerTree tree) {
        mTree = tree;
        mOwnFlow = new double[tree.size()];
        mOwnCount = new int[tree.size()];
        mFlow = new double[tree.size()];
        mChains = new int[tree.size()];
    }

    /** Adds the flow of an engine to a node. */
    void add(int node, double tokensPerSecond) {
        mOwnFlow[node] += tokensPerSecond;
        mOwnCount[node]++;
        update(node);
    }

    /** Removes the flow of an engine from a node. */
    void remove(int node, double tokensPerSecond) {
        mOwnCount[node]--;
        mOwnFlow[node] = mOwnCount[node] == 0 ? 0 : mOwnFlow[node] - tokensPerSecond;
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
            mFlow[node] = mOwnFlow[node] + below;
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

    /** Returns whether every layer of a node is held. */
    boolean covers(int node) {
        return mChains[node] > 0;
    }

    /** Returns the number of layers that no engine holds. */
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
     * Chooses the node where an engine adds the most throughput.
     *
     * @param layerTokensPerSecond speed of the engine in generated tokens times layers per second
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
        Gain own = new Gain(node, fits ? layerTokensPerSecond / mTree.layers(node) : -1);
        if (mTree.isLeaf(node)) {
            return own;
        }
        int left = mTree.left(node);
        int right = mTree.right(node);
        int weaker = mFlow[left] <= mFlow[right] ? left : right;
        Gain child = best(weaker, layerTokensPerSecond, maxLayers);
        double gap = Math.abs(mFlow[left] - mFlow[right]);
        Gain below = new Gain(child.node(), Math.min(gap, child.tokensPerSecond()));
        return below.tokensPerSecond() > own.tokensPerSecond() ? below : own;
    }

    private record Gain(int node, double tokensPerSecond) {}
}
