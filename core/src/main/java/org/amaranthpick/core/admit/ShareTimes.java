package org.amaranthpick.core.admit;

import java.time.Duration;

/** Times of the share protocol. Each side that grants waits longer than the side that uses. */
final class ShareTimes {
    /** Time that a home may act on consents, from when it asked for them. */
    static final Duration TERM = Duration.ofSeconds(3);

    /** Time that a consent binds its giver, from when it gave it. */
    static final Duration PROMISE = Duration.ofMillis(3_500);

    /** Time that granted places may be used, from when they were asked for. */
    static final Duration LEASE = Duration.ofSeconds(3);

    /** Time that a home counts granted places, from when it granted them. */
    static final Duration LEASE_AT_HOME = Duration.ofMillis(3_500);

    /** Time that a member out of sight still counts for the majority. */
    static final Duration MEMORY = Duration.ofSeconds(30);

    /** Time that parts of a replaced configuration still bind. */
    static final Duration OLD_PARTS = Duration.ofSeconds(10);

    private ShareTimes() {}
}
