package org.amaranthpick.core.manifest;

/**
 * Accelerators of one upstream.
 *
 * @param kind name of the accelerator kind, such as {@code a40}
 * @param count accelerators in the upstream, 1 or more
 * @param memoryBytes memory for weights, adapters and KV cache, all accelerators together
 * @param prefillLayerTokensPerSecond prompt tokens times layers per second
 * @param decodeLayerTokensPerSecond generated tokens times layers per second at full batch
 * @param layerTimeNs lower bound of the time one token spends in one layer, in nanoseconds
 * @param maxStreams streams that may run at once
 */
public record AcceleratorSpec(
        String kind,
        int count,
        long memoryBytes,
        double prefillLayerTokensPerSecond,
        double decodeLayerTokensPerSecond,
        long layerTimeNs,
        int maxStreams) {}
