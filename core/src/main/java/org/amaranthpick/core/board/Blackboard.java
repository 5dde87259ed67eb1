package org.amaranthpick.core.board;

import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.placement.RoutingHold;

/** Typed sections shared by controllers. Each section has one writer family and many readers. */
public final class Blackboard {
    private final Section<Identity, UpstreamObservation> mUpstreams = new Section<>();
    private final Section<Identity, RoutingHold> mHolds = new Section<>();

    /**
     * Returns the observed upstreams, written by observation.
     *
     * @return section by upstream
     */
    public Section<Identity, UpstreamObservation> upstreams() {
        return mUpstreams;
    }

    /**
     * Returns the routing holds, written by placement and by what peers tell of it.
     *
     * @return section by upstream
     */
    public Section<Identity, RoutingHold> holds() {
        return mHolds;
    }
}
