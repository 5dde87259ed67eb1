package org.amaranthpick.core.placement;

/**
 * Lease of a control shard as its holder sees it.
 *
 * @param shard key of the control shard
 * @param fence fencing number, grows with each change of the holder
 * @param acquiredNs monotonic time at which the holder learnt that it holds the lease
 * @param believedUntilNs monotonic time at which the holder stops believing in it
 */
public record Lease(String shard, long fence, long acquiredNs, long believedUntilNs) {}
