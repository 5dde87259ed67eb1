package org.amaranthpick.core.board;

import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.placement.RoutingHold;

/** Typed sections shared by controllers. One component writes each section, many read it. */
public final class Blackboard {
    private final Section<Identity, UpstreamObservation> mUpstreams = new Section<>();
    private final Section<Identity, RoutingHold> mRoutingHolds = new Section<>();

    /**
     * Returns the latest observations of the upstreams, written by the observation package.
     *
     * @return section by upstream
     */
    public Section<Identity, UpstreamObservation> upstreams() {
        return mUpstreams;
    }

    /**
     * Returns the routing holds, written by the placement package from its own and announced holds.
     *
     * @return section by upstream
     */
    public Section<Identity, RoutingHold> routingHolds() {
        return mRoutingHolds;
    }
}
