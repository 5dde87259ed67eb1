package org.amaranthpick.core.gateway;

import java.util.Map;

/**
 * Figures of the model that the engines of a service run, and of the cards that run it.
 *
 * @param layers number of layers
 * @param layerMb weights of one layer, in MB
 * @param kvBytesPerToken memory of one token over all layers, in bytes
 * @param slots requests that one engine takes as first of a chain
 * @param stepMs time of one token step over all layers at factor 1
 * @param stepMsPerSequence added to a step by each sequence of the batch
 * @param stepMsPerContextK added to a step by each 1,000 tokens of context in the batch
 * @param readTokensPerSecond prompt tokens read in a second over all layers at factor 1
 * @param usualPromptTokens mean prompt
 * @param usualAnswerTokens mean answer
 * @param loadSeconds time to load all layers
 * @param activationBytes bytes that a token carries from one part of a chain to the next
 * @param pipeMbps bandwidth between two failure domains, shared by all, in Mbit/s
 * @param tokensPerEvent tokens that one event of a stream holds
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
     * Computes the memory that one layer takes beside its weights for a number of tokens.
     *
     * @param tokens tokens held
     * @return MB
     */
    public double kvMbPerLayer(double tokens) {
        return kvBytesPerToken / layers * tokens / BYTES_PER_MB;
    }
}
