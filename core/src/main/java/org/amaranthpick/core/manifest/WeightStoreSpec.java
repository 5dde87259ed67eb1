package org.amaranthpick.core.manifest;

/**
 * Store from which the engines of a fleet load model weights.
 *
 * @param fleet name of the fleet
 * @param bytesPerSecond bandwidth shared by all loads of the fleet
 * @param concurrentLoads maximum number of concurrent loads
 */
public record WeightStoreSpec(String fleet, long bytesPerSecond, int concurrentLoads) {}
