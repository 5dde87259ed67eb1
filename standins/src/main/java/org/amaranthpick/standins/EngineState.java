package org.amaranthpick.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Holdings and fencing state of an engine stand-in, and the orders that change them. */
final class EngineState {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EngineOptions mOptions;
    private final List<String> mOrders = new ArrayList<>();
    private List<UpstreamSpec.Holding> mHoldings;
    private List<UpstreamSpec.Holding> mNext;
    private long mNextAtNs;
    private long mFence = -1;
    private long mSequence = -1;

    EngineState(EngineOptions options) {
        mOptions = options;
        mHoldings = options.holdings();
        mNext = mHoldings;
    }

    /** Forgets everything but what an engine holds at its start. */
    synchronized void restart() {
        mHoldings = mOptions.holdings();
        mNext = mHoldings;
        mFence = -1;
        mSequence = -1;
    }

    synchronized List<UpstreamSpec.Holding> holdings() {
        if (mNext != mHoldings && System.nanoTime() - mNextAtNs >= 0) {
            mHoldings = mNext;
        }
        return mHoldings;
    }

    synchronized long fence() {
        return mFence;
    }

    synchronized List<String> orders() {
        return List.copyOf(mOrders);
    }

    synchronized boolean holds(String model, LayerRange layers, String adapter) {
        return holdings().stream()
                .filter(h -> h.modelVersion().key().equals(model))
                .filter(h -> h.layers().contains(layers))
                .anyMatch(h -> adapter.isEmpty() || holdsAdapter(h, adapter));
    }

    private static boolean holdsAdapter(UpstreamSpec.Holding holding, String adapter) {
        return holding.adapters().stream().anyMatch(a -> a.key().equals(adapter));
    }

    /**
     * Takes an order.
     *
     * @return refusal to answer with, empty if the order was taken
     */
    synchronized Optional<ObjectNode> take(JsonNode order) {
        long fence = order.path("fence").asLong();
        long sequence = order.path("sequence").asLong();
        boolean old = fence < mFence || (fence == mFence && sequence < mSequence);
        if (old && mOptions.honoursFencing()) {
            return Optional.of(
                    MAPPER.createObjectNode().put("type", "fenced").put("fence", mFence));
        }
        mFence = Math.max(mFence, fence);
        mSequence = sequence;
        mOrders.add(order.path("orderer").asText() + " " + fence + "/" + sequence);
        List<UpstreamSpec.Holding> target = new ArrayList<>();
        order.path("target").forEach(h -> target.add(holding(h)));
        apply(target);
        return Optional.empty();
    }

    private void apply(List<UpstreamSpec.Holding> target) {
        Duration delay = mOptions.loadDelay();
        mNext = List.copyOf(target);
        mNextAtNs = System.nanoTime() + delay.toNanos();
        // What the order drops is gone at once; what it adds comes after the load.
        mHoldings = mHoldings.stream().filter(target::contains).toList();
    }

    ArrayNode holdingsJson() {
        ArrayNode array = MAPPER.createArrayNode();
        for (UpstreamSpec.Holding holding : holdings()) {
            ObjectNode json = array.addObject();
            json.put("model", holding.modelVersion().key());
            json.put("from", holding.layers().from());
            json.put("to", holding.layers().to());
            ArrayNode adapters = json.putArray("adapters");
            holding.adapters().forEach(a -> adapters.add(a.key()));
        }
        return array;
    }

    private static UpstreamSpec.Holding holding(JsonNode json) {
        List<Identity> adapters = new ArrayList<>();
        json.path("adapters").forEach(a -> adapters.add(StandInKeys.parse(a.asText())));
        return new UpstreamSpec.Holding(
                StandInKeys.parse(json.path("model").asText()),
                new LayerRange(json.path("from").asInt(), json.path("to").asInt()),
                adapters);
    }
}
