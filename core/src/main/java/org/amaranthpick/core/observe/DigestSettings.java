package org.amaranthpick.core.observe;

import java.time.Duration;

/**
 * Rates of the digests and threshold of the changes that they report.
 *
 * @param nearPeriod time between digests to the daemon's own domain
 * @param farPeriod time between digests to other domains
 * @param nearDigestsPerFull number of digests to the own domain of which one is full
 * @param farDigestsPerFull number of digests to other domains of which one is full
 * @param minStreamChange largest relative change of the running streams that is not sent before the
 *     next full digest
 */
public record DigestSettings(
        Duration nearPeriod,
        Duration farPeriod,
        int nearDigestsPerFull,
        int farDigestsPerFull,
        double minStreamChange) {
    /** Default settings. */
    public static final DigestSettings DEFAULT =
            new DigestSettings(Duration.ofSeconds(1), Duration.ofSeconds(10), 10, 3, 0.1);
}
