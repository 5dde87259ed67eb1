package org.amaranthpick.core.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalInt;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * Parameters of the model that the engines of a service run, and of the cards that they have.
 *
 * @param layers number of layers
 * @param layerMb size of the weights of one layer, in MB
 * @param kvBytesPerToken size of one token in the KV cache over all layers, in bytes
 * @param slots concurrent requests that an engine accepts as the first of a chain
 * @param stepMs time of a token step over all layers at factor 1, in ms
 * @param stepMsPerSequence time that each sequence of the batch adds to a step, in ms
 * @param stepMsPerContextK time that each 1,000 tokens of context in the batch add to a step, in ms
 * @param readTokensPerSecond prefill rate over all layers at factor 1, in tokens per second
 * @param usualPromptTokens mean length of prompts, in tokens
 * @param usualAnswerTokens mean length of answers, in tokens
 * @param loadSeconds time to load all layers, in seconds
 * @param maxParallelLoads loads that the weight store serves at full speed at the same time; more
 *     share its bandwidth; empty if there is no such limit
 * @param activationBytes size of the activations of one token between two stages, in bytes
 * @param pipeMbps shared bandwidth between two failure domains, in Mbit/s
 * @param tokensPerEvent tokens in one event of a stream
 * @param cards kinds of cards by name
 */
public record EngineModel(
        int layers,
        double layerMb,
        double kvBytesPerToken,
        int slots,
        double stepMs,
        double stepMsPerSequence,
        double stepMsPerContextK,
        double readTokensPerSecond,
        int usualPromptTokens,
        int usualAnswerTokens,
        double loadSeconds,
        OptionalInt maxParallelLoads,
        double activationBytes,
        double pipeMbps,
        int tokensPerEvent,
        Map<String, CardKind> cards) {
    private static final double BYTES_PER_MB = 1_000_000;

    /** Copies the cards. Descriptions of fleets may lack the limit of loads. */
    public EngineModel {
        maxParallelLoads = maxParallelLoads == null ? OptionalInt.empty() : maxParallelLoads;
        cards = Map.copyOf(cards);
    }

    /**
     * Predicts the time of a load.
     *
     * @param newLayers layers to load
     * @param parallelLoads loads that run at the same time, with this one
     * @return time
     */
    public Duration loadTime(int newLayers, int parallelLoads) {
        double slowdown =
                Math.max(1, (double) parallelLoads / maxParallelLoads.orElse(parallelLoads));
        double seconds = loadSeconds * newLayers / layers * slowdown;
        return Duration.ofMillis((long) (1000 * seconds));
    }

    /**
     * Computes the KV cache of one layer for a number of tokens.
     *
     * @param tokens tokens in the cache
     * @return size in MB
     */
    public double kvMbPerLayer(double tokens) {
        return kvBytesPerToken / layers * tokens / BYTES_PER_MB;
    }

    /**
     * Returns the kind of an engine's card. An engine that names none, or one that is not
     * configured, counts as one that holds all layers.
     *
     * @param engine the engine
     * @return kind of its card
     */
    public CardKind cardOf(UpstreamEntry engine) {
        return engine.card().map(cards::get).orElse(new CardKind(layerMb * layers, 1, 1));
    }

    /**
     * Returns the KV cache of an engine beside the layers that it holds.
     *
     * @param engine the engine
     * @return capacity in tokens times layers, 0 or less if the layers fill the memory
     */
    public double kvTokenLayers(UpstreamEntry engine) {
        int heldLayers = engine.layers().map(LayerRange::size).orElse(0);
        double freeMb = cardOf(engine).memoryMb() - heldLayers * layerMb;
        return freeMb / kvMbPerLayer(1);
    }
}
