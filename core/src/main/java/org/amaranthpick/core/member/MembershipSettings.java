package org.amaranthpick.core.member;

import java.time.Duration;

/**
 * Settings of the membership.
 *
 * @param probePeriod time between two probes that one daemon sends
 * @param ackTimeout time without an ack after which other daemons are asked to probe
 * @param suspicionTimeout time from suspicion to death without a refutation
 * @param domainTimeout silence after which another domain counts as unreachable
 * @param directoryPeriod time between two reads of the platform's host directory
 * @param tombstoneRetention time for which the record of a dead daemon is kept
 * @param noticeRetention time for which a leaving notice is kept
 * @param relaysPerDomain daemons of a domain that exchange messages with other domains
 */
public record MembershipSettings(
        Duration probePeriod,
        Duration ackTimeout,
        Duration suspicionTimeout,
        Duration domainTimeout,
        Duration directoryPeriod,
        Duration tombstoneRetention,
        Duration noticeRetention,
        int relaysPerDomain) {

    /** Settings for production. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(
                    Duration.ofSeconds(1),
                    Duration.ofMillis(300),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(10),
                    Duration.ofMinutes(10),
                    Duration.ofMinutes(30),
                    2);
}
