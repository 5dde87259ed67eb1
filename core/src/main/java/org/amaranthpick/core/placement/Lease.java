package org.amaranthpick.core.placement;

/**
 * Lease of a control shard as seen by its holder.
 *
 * @param shard key of the control shard
 * @param fence fencing number, which increases with each change of the holder
 * @param acquiredNs monotonic time at which the holder learned that it holds the lease
 * @param validUntilNs monotonic time from which the holder treats the lease as expired
 */
public record Lease(String shard, long fence, long acquiredNs, long validUntilNs) {}
