package org.amaranthpick.core.placement;

import org.amaranthpick.core.name.Identity;

/**
 * State of a control shard that this daemon owns.
 *
 * @param domain failure domain
 * @param fence fencing number of the lease
 * @param openOrders number of engines that have not reached their target
 * @param requestedLoads number of engines that load weights or wait to load them
 */
public record ShardStatus(Identity domain, long fence, int openOrders, int requestedLoads) {}
