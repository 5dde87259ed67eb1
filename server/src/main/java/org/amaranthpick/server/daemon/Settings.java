package org.amaranthpick.server.daemon;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.member.ListedHost;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.server.caller.CallerLimits;

/**
 * Checked settings of one daemon.
 *
 * @param host identity of this host
 * @param domain its failure domain
 * @param region region of the domain
 * @param callerAddress listener of callers
 * @param operatorAddress listener of operators
 * @param peerAddress listener of other daemons, as they reach it
 * @param storeAddress base address of the platform's object API
 * @param storeToken credential for the object API, if it wants one
 * @param orderToken credential shown to engines that check who orders them, if there are any
 * @param peerKeys shared keys of the daemons, the one to use first; a second is accepted during
 *     rotation
 * @param operatorToken credential of operators
 * @param seeds daemons known without the platform's host list
 * @param limits bounds on callers
 * @param drainGrace longest time that a shutdown waits for requests in progress
 * @param balancerLag time the balancer takes to stop sending after readiness fails
 * @param storeCallsPerSecond this daemon's share of the store's rate
 * @param ioThreads I/O threads
 */
public record Settings(
        Identity host,
        Identity domain,
        String region,
        PeerAddress callerAddress,
        PeerAddress operatorAddress,
        PeerAddress peerAddress,
        URI storeAddress,
        Optional<String> storeToken,
        Optional<String> orderToken,
        List<String> peerKeys,
        String operatorToken,
        List<ListedHost> seeds,
        CallerLimits limits,
        Duration drainGrace,
        Duration balancerLag,
        double storeCallsPerSecond,
        int ioThreads) {

    /** Copies the lists. */
    public Settings {
        peerKeys = List.copyOf(peerKeys);
        seeds = List.copyOf(seeds);
    }
}
