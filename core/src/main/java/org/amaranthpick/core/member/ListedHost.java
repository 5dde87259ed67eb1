package org.amaranthpick.core.member;

import java.time.Instant;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/**
 * Entry of the platform's host directory.
 *
 * @param host identity of kind HOST
 * @param address peer address if the host runs a daemon
 * @param domain failure domain
 * @param region region of the domain
 * @param leavingSince when the platform began to remove the host, empty if it is not leaving
 */
public record ListedHost(
        Identity host,
        Optional<PeerAddress> address,
        Identity domain,
        String region,
        Optional<Instant> leavingSince) {}
