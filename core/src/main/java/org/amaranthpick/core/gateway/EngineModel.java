package org.amaranthpick.core.gateway;

import java.util.Map;

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
        double activationBytes,
        double pipeMbps,
        int tokensPerEvent,
        Map<String, CardKind> cards) {
    private static final double BYTES_PER_MB = 1_000_000;

    /** Copies the cards. */
    public EngineModel {
        cards = Map.copyOf(cards);
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
}
