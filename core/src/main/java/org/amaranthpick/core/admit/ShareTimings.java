package org.amaranthpick.core.admit;

import java.time.Duration;

/**
 * Durations of the share protocol. The granting side always waits longer than the using side, so
 * that a share is never used after it has been granted again.
 */
final class ShareTimings {
    /** Time for which a coordinator may act on votes, from when it requested them. */
    static final Duration TERM = Duration.ofSeconds(3);

    /** Time for which a vote binds the voter, from when it was given. */
    static final Duration VOTE_VALIDITY = Duration.ofMillis(3_500);

    /** Time for which granted slots may be used, from when they were requested. */
    static final Duration LEASE = Duration.ofSeconds(3);

    /** Time for which a coordinator counts granted slots, from when it granted them. */
    static final Duration COORDINATOR_LEASE = Duration.ofMillis(3_500);

    /** Time for which a member that is no longer visible still counts towards the majority. */
    static final Duration MEMBER_RETENTION = Duration.ofSeconds(30);

    /** Time for which the quotas of a replaced configuration still apply. */
    static final Duration OLD_QUOTA_OVERLAP = Duration.ofSeconds(10);

    private ShareTimings() {}
}
