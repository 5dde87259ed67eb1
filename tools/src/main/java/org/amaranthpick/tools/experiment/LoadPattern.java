package org.amaranthpick.tools.experiment;

/** Loads that the decisions must answer. */
public enum LoadPattern {
    /** Requests as the fleet is laid out for. */
    STEADY,
    /** Everything comes 1.7 times as often for three seconds. */
    BURST,
    /** Half of a domain's callers come to another domain. */
    SHIFT,
    /** Refused callers come back at once, and again. */
    RETRY_STORM,
    /** Every fourth caller leaves after half of the first event's objective. */
    GIVE_UP,
    /** An engine in the middle of the fastest chain falls silent and comes back empty. */
    LOST_ENGINE,
    /** The same engine falls silent for good. */
    GONE_ENGINE,
    /** All engines of the domain that holds most memory fall silent and come back empty. */
    LOST_DOMAIN,
    /** All engines of that domain are cut off, and come back with their layers. */
    CUT_DOMAIN,
    /** An engine of the fastest chain turns five times slower. */
    SLOW_ENGINE,
    /** Pipes between the domains carry a tenth, and one domain has lost an engine. */
    SLOW_PIPE,
    /** Nobody asks for four seconds, then all come at once. */
    RETURN;

    /**
     * Returns the name for commands and reports.
     *
     * @return words joined by hyphens
     */
    public String label() {
        return Labels.of(this);
    }
}
