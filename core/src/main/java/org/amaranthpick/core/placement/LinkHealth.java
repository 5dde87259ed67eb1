package org.amaranthpick.core.placement;

import org.amaranthpick.core.name.Identity;

/** Measured state of network links. */
@FunctionalInterface
public interface LinkHealth {
    /** No link is known to be degraded. */
    LinkHealth NONE_DEGRADED = (from, to) -> false;

    /**
     * Returns whether a link is too slow for chains to pass it.
     *
     * @param from identity of kind DOMAIN or UPSTREAM
     * @param to identity of the same kind
     * @return true if it is degraded
     */
    boolean isDegraded(Identity from, Identity to);
}
