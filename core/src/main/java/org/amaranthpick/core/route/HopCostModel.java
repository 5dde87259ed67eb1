package org.amaranthpick.core.route;

import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;

/** Cost model of the hops and links of a chain for one request. */
interface HopCostModel {
    /**
     * Returns the cost of one hop.
     *
     * @param engine engine that runs the hop
     * @param layers layers that the hop runs
     * @return hop with its cheapest KV cache source, and its cost
     */
    CostedHop hopCost(Engine engine, LayerRange layers);

    /**
     * Returns the cost of the link between two hops.
     *
     * @param fromDomain domain of the first hop
     * @param toDomain domain of the second hop
     * @return time in nanoseconds
     */
    long linkNs(Identity fromDomain, Identity toDomain);
}
