package org.amaranthpick.core.gateway;

/** Whether and how the requests of a route may be retried. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run at most once. */
    NON_IDEMPOTENT,
    /** Answered by a stream of events; may be retried only if the route is resumable. */
    STREAM
}
