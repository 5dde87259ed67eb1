package org.amaranthpick.core.manifest;

/**
 * Accelerators of one upstream.
 *
 * @param kind name of the accelerator kind, such as {@code a40}
 * @param count accelerators in the upstream, 1 or more
 * @param memoryBytes memory for weights, adapters and KV cache, summed over all accelerators
 * @param prefillLayerTokensPerSecond prefill rate, in prompt tokens times layers per second
 * @param decodeLayerTokensPerSecond decode rate at full batch, in generated tokens times layers per
 *     second
 * @param layerTimeNs lower bound of the time one token spends in one layer, in nanoseconds
 * @param maxStreams maximum number of concurrent streams
 */
public record AcceleratorSpec(
        String kind,
        int count,
        long memoryBytes,
        double prefillLayerTokensPerSecond,
        double decodeLayerTokensPerSecond,
        long layerTimeNs,
        int maxStreams) {}
