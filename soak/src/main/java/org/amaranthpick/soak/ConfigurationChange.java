package org.amaranthpick.soak;

/** Changes of the configuration, each of which is made and taken back in turn. */
enum ConfigurationChange {
    /** A route. */
    ROUTE,
    /** The weights of a route. */
    WEIGHTS,
    /** The time-outs of all routes. */
    TIMEOUT,
    /** A key of the tenant. */
    KEY,
    /** The limits of callers. */
    LIMITS,
    /** Many routes. */
    MANY_ROUTES
}
