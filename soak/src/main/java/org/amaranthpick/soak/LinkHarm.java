package org.amaranthpick.soak;

/** What a proxy does to the bytes that pass. */
enum LinkHarm {
    /** Passes them on. */
    NONE,
    /** Passes them on late. */
    DELAY,
    /** Holds them until the harm is over. */
    SILENCE,
    /** Loses what comes back; the connection is reset when the harm is over. */
    ONE_WAY,
    /** Resets what is connected, and each new connection. */
    RESET
}
