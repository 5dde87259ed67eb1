package org.amaranthpick.standins.fleet;

/**
 * Entry hosts and callers of one failure domain.
 *
 * @param domain failure domain
 * @param daemons entry hosts
 * @param requestsPerS requests for generations a second
 */
public record EntryGroup(String domain, int daemons, double requestsPerS) {}
