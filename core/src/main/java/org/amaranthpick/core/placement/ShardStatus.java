package org.amaranthpick.core.placement;

import org.amaranthpick.core.name.Identity;

/**
 * State of a control shard that this daemon owns.
 *
 * @param domain failure domain
 * @param fence fencing number of the lease
 * @param openOrders engines that are not yet as wanted
 * @param loadsWanted engines that load weights or wait to
 */
public record ShardStatus(Identity domain, long fence, int openOrders, int loadsWanted) {}
