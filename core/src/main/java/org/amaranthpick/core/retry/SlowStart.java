package org.amaranthpick.core.retry;

import org.amaranthpick.core.name.Identity;

/** Tells how much of an upstream's capacity may be used while it warms up. Thread-safe. */
@FunctionalInterface
public interface SlowStart {
    /**
     * Returns the share to use.
     *
     * @param upstream the upstream
     * @return share of its capacity, above 0 and up to 1
     */
    double share(Identity upstream);
}
