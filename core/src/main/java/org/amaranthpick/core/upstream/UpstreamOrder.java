package org.amaranthpick.core.upstream;

import java.util.List;
import org.amaranthpick.core.manifest.UpstreamSpec;

/**
 * Order to an engine: the whole target state, so that repeating it changes nothing.
 *
 * @param shard key of the control shard that orders
 * @param fence fencing number of the orderer's lease
 * @param sequence order number within the fence
 * @param orderer host key of the ordering daemon
 * @param target what the engine is to hold
 */
public record UpstreamOrder(
        String shard,
        long fence,
        long sequence,
        String orderer,
        List<UpstreamSpec.Holding> target) {
    /** Copies the list. */
    public UpstreamOrder {
        target = List.copyOf(target);
    }
}
