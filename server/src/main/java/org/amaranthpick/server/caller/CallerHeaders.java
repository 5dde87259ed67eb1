package org.amaranthpick.server.caller;

import io.undertow.util.HttpString;

/** Names of the headers between callers and the daemon. */
public final class CallerHeaders {
    /** Id that the caller gives its request; echoed. */
    public static final HttpString CALLER_REQUEST_ID = new HttpString("X-Caller-Request-Id");

    /** Id of the request in logs and {@code explain}; set in every answer. */
    public static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

    /** Key under which repeats are recognised. */
    public static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

    /** {@code true} if the request must run at most once. */
    public static final HttpString NON_IDEMPOTENT = new HttpString("X-Non-Idempotent");

    /** Priority, 0 (lowest) to 9. */
    public static final HttpString PRIORITY = new HttpString("X-Priority");

    /** Time for the whole answer, in milliseconds. */
    public static final HttpString TIMEOUT_MS = new HttpString("X-Timeout-Ms");

    /** Outcome of the request: {@code answered}, {@code not-run} or {@code interrupted}. */
    public static final HttpString OUTCOME = new HttpString("X-Outcome");

    /** {@code true} if the answer is the kept one of an earlier request. */
    public static final HttpString REPLAYED = new HttpString("X-Replayed");

    private CallerHeaders() {}
}
