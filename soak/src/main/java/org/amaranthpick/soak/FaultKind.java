package org.amaranthpick.soak;

/** Faults of a soak. */
enum FaultKind {
    /** A daemon stands still and goes on. */
    FREEZE,
    /** A daemon is killed and started again. */
    KILL,
    /** A daemon is told to stop, and started again once it has ended. */
    TERM,
    /** A link is slow. */
    LINK_DELAY,
    /** A link is silent. */
    LINK_SILENCE,
    /** A link loses what comes back. */
    LINK_ONE_WAY,
    /** A link is reset. */
    LINK_RESET,
    /** The store answers 503 to the next calls. */
    STORE_BUSY,
    /** The store drops its history. */
    STORE_COMPACT,
    /** The store comes back from a copy; what operator and engines wrote since is written again. */
    STORE_RESTORE,
    /** A model engine leaves and comes back. */
    ENGINE_LEAVES,
    /** Streams of a model engine break off. */
    STREAM_BREAKS,
    /** The plain service refuses, resets or fails for a while. */
    SERVICE_FAULT,
    /** Engines, or the plain service, fall silent at some byte of their answers and go on. */
    ENGINE_PAUSES,
    /** The configuration changes several times in a row. */
    CONFIG_CHANGES,
    /** One daemon after another is told to stop, and started again once it has ended. */
    TERM_SERIES
}
