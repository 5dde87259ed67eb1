package org.amaranthpick.core.route;

import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;

/** Prices the parts of a chain for one request. */
interface HopPricer {
    /**
     * Prices one hop.
     *
     * @param engine engine that runs it
     * @param layers layers that it runs
     * @return cheapest way to run it
     */
    PricedHop price(Engine engine, LayerRange layers);

    /**
     * Prices the way between two hops.
     *
     * @param fromDomain domain of the hop before
     * @param toDomain domain of the hop after
     * @return time in nanoseconds
     */
    long linkNs(Identity fromDomain, Identity toDomain);
}
