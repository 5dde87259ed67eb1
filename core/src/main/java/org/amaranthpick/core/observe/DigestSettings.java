package org.amaranthpick.core.observe;

import java.time.Duration;

/**
 * Rates of the digests.
 *
 * @param nearPeriod time between digests to the own domain
 * @param farPeriod time between digests to other domains
 * @param nearRefresh every so many digests to the own domain tell of all upstreams
 * @param farRefresh every so many digests to other domains tell of all upstreams
 * @param minStreamChange relative change of the streams below which an entry is not repeated
 */
public record DigestSettings(
        Duration nearPeriod,
        Duration farPeriod,
        int nearRefresh,
        int farRefresh,
        double minStreamChange) {
    /** Settings for daily use. */
    public static final DigestSettings DEFAULT =
            new DigestSettings(Duration.ofSeconds(1), Duration.ofSeconds(10), 10, 3, 0.1);
}
