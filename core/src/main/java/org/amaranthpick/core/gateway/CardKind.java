package org.amaranthpick.core.gateway;

/**
 * Kind of accelerator card.
 *
 * @param memoryMb memory for weights and KV cache, in MB
 * @param stepFactor ratio of the time of a token step to that of the model at factor 1
 * @param readFactor ratio of the prefill time to that of the model at factor 1
 */
public record CardKind(double memoryMb, double stepFactor, double readFactor) {}
