package org.amaranthpick.server.store;

/** Order in which calls wait for the budget. */
public enum StorePriority {
    /** Configuration: it must be in force within seconds. */
    CONFIGURATION,
    /**
     * Claims and leases: somebody waits, or a lease runs out. Their rate is bounded over all
     * daemons together by the number of shards, so they go at once and the others pay for them.
     */
    COORDINATION,
    /** Everything else. */
    OTHER;

    private static final String CONFIGURATION_PREFIX = "config/";
    private static final String CLAIM_PREFIX = "claims/";
    private static final String LEASE_PREFIX = "placement/lease/";

    /**
     * Finds the priority of a key or prefix.
     *
     * @param key key of an object, or prefix of a list or watch
     * @return priority
     */
    public static StorePriority of(String key) {
        if (key.startsWith(CONFIGURATION_PREFIX)) {
            return CONFIGURATION;
        }
        boolean coordinates = key.startsWith(CLAIM_PREFIX) || key.startsWith(LEASE_PREFIX);
        return coordinates ? COORDINATION : OTHER;
    }
}
