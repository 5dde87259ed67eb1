package org.amaranthpick.core.upstream;

import java.util.List;
import org.amaranthpick.core.manifest.UpstreamSpec;

/**
 * Order to an engine. It contains the complete target state, so that it is idempotent.
 *
 * @param shard key of the control shard that sends the order
 * @param fence fencing token of the sender's lease
 * @param sequence sequence number of the order among those with the same fencing token
 * @param orderer host key of the daemon that sends the order
 * @param target model versions, layers and adapters that the engine must hold
 */
public record UpstreamOrder(
        String shard,
        long fence,
        long sequence,
        String orderer,
        List<UpstreamSpec.Holding> target) {
    /** Creates the order with a copy of the list. */
    public UpstreamOrder {
        target = List.copyOf(target);
    }
}
