package org.amaranthpick.core.store;

import java.util.concurrent.atomic.AtomicLong;

/** Source of writer tokens for one process. */
public final class WriterTokens {
    private final String mHost;
    private final long mBootNonce;
    private final AtomicLong mCounter = new AtomicLong();

    /**
     * Creates the source.
     *
     * @param host key of this host
     * @param bootNonce random number drawn at the process start
     */
    public WriterTokens(String host, long bootNonce) {
        mHost = host;
        mBootNonce = bootNonce;
    }

    /**
     * Returns a token that was never returned before.
     *
     * @return token
     */
    public WriterToken next() {
        return new WriterToken(mHost, mBootNonce, mCounter.incrementAndGet());
    }
}
