package org.amaranthpick.core.store;

import java.util.concurrent.atomic.AtomicLong;

/** Generates the writer tokens of a process. */
public final class WriterTokens {
    private final String mHost;
    private final long mBootNonce;
    private final AtomicLong mCounter = new AtomicLong();

    /**
     * Creates the generator.
     *
     * @param host identity key of this host
     * @param bootNonce random number drawn at the process start
     */
    public WriterTokens(String host, long bootNonce) {
        mHost = host;
        mBootNonce = bootNonce;
    }

    /**
     * Returns a new token.
     *
     * @return token that was not returned before
     */
    public WriterToken next() {
        return new WriterToken(mHost, mBootNonce, mCounter.incrementAndGet());
    }
}
