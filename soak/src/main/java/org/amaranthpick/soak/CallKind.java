package org.amaranthpick.soak;

/** Kinds of requests of a soak. */
enum CallKind {
    /** May run more than once. */
    IDEMPOTENT("GET", "/get/x"),
    /** May run once. */
    NON_IDEMPOTENT("POST", "/post/x"),
    /** A stream that may go on elsewhere. */
    STREAM("POST", "/chat/x");

    private final String mMethod;
    private final String mPath;

    CallKind(String method, String path) {
        mMethod = method;
        mPath = path;
    }

    String method() {
        return mMethod;
    }

    String path() {
        return mPath;
    }
}
