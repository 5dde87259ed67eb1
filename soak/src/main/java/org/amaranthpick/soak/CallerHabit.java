package org.amaranthpick.soak;

/** How a caller uses its connection. */
enum CallerHabit {
    /** Pauses between requests, and opens another connection after some. */
    USUAL,
    /** Sends the next request at once, until the daemon closes the connection. */
    AT_ONCE,
    /** Sends two requests in one packet, until the daemon closes the connection. */
    SAME_PACKET,
    /** Sends the body of a request in parts, 1.5 s apart. */
    DRIPS,
    /** Reads its answers slowly. */
    READS_SLOWLY
}
