package org.amaranthpick.core.manifest;

/**
 * Weight store of a fleet.
 *
 * @param fleet name of the fleet
 * @param bytesPerSecond rate that all loads of the fleet share
 * @param concurrentLoads loads at once
 */
public record WeightStoreSpec(String fleet, long bytesPerSecond, int concurrentLoads) {}
