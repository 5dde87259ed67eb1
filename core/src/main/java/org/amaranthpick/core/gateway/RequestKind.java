package org.amaranthpick.core.gateway;

/** What may be repeated, by route. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run once at most. */
    NON_IDEMPOTENT,
    /** Answers with a stream of events; may run again only where the route is resumable. */
    STREAM
}
