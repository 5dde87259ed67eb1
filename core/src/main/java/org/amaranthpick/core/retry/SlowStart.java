package org.amaranthpick.core.retry;

import org.amaranthpick.core.name.Identity;

/** Limits the share of an upstream's capacity that is used while it warms up. Thread-safe. */
@FunctionalInterface
public interface SlowStart {
    /**
     * Returns the usable share of an upstream's capacity.
     *
     * @param upstream the upstream
     * @return share, above 0 and up to 1
     */
    double capacityShare(Identity upstream);
}
