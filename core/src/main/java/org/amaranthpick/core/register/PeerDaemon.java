package org.amaranthpick.core.register;

/**
 * Another daemon of the fleet.
 *
 * @param address IP address and port at which it accepts messages of other daemons
 * @param domain its failure domain, empty if it is not known
 */
public record PeerDaemon(String address, String domain) {}
