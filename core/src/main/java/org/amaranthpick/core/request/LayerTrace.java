package org.amaranthpick.core.request;

import java.util.List;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.Hop;

/** Compares the layers that processed a token with the layers of its chain. */
final class LayerTrace {
    private LayerTrace() {}

    /**
     * Returns whether every layer of the chain ran exactly once, in order.
     *
     * @param chain chain of the attempt
     * @param trace layers in the order in which they ran
     * @return true if the trace covers the layers of the chain without gaps, overlaps or repeats
     */
    static boolean isComplete(Chain chain, List<LayerRange> trace) {
        int next = 0;
        for (int i = 0; i < trace.size(); i++) {
            LayerRange range = trace.get(i);
            if (range.from() != next) {
                return false;
            }
            next = range.to();
        }
        return next == chain.hops().get(chain.hops().size() - 1).layers().to();
    }

    /**
     * Returns the first stage at which a wrong trace differs from the chain.
     *
     * @param chain chain of the attempt
     * @param trace wrong trace
     * @return upstream of the first hop whose layers differ, else of the last hop
     */
    static Identity faultyStage(Chain chain, List<LayerRange> trace) {
        List<Hop> hops = chain.hops();
        for (int i = 0; i < hops.size(); i++) {
            if (i >= trace.size() || !hops.get(i).layers().equals(trace.get(i))) {
                return hops.get(i).upstream();
            }
        }
        return hops.get(hops.size() - 1).upstream();
    }
}
