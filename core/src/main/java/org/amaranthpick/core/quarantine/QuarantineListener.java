package org.amaranthpick.core.quarantine;

/** Receives what a daemon has observed itself. */
@FunctionalInterface
public interface QuarantineListener {
    /**
     * Handles an observation.
     *
     * @param report all that is known of the part
     * @param concernsAll false if the part is a request that has met one crash at most
     */
    void onObservation(PartReport report, boolean concernsAll);
}
