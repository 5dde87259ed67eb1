package org.amaranthpick.server.caller;

import java.util.concurrent.atomic.AtomicLong;
import org.amaranthpick.core.name.Identity;

/** Source of request ids that no other daemon and no earlier start of this one gives. */
public final class RequestIds {
    private final String mPrefix;
    private final AtomicLong mCounter = new AtomicLong();

    /**
     * Creates the source.
     *
     * @param host this host
     * @param bootNonce random number drawn at the process start
     */
    public RequestIds(Identity host, long bootNonce) {
        mPrefix = host.fleet() + "." + host.name() + "-" + Long.toHexString(bootNonce) + "-";
    }

    /**
     * Returns a new id.
     *
     * @return id that names the entry host
     */
    public String next() {
        return mPrefix + mCounter.incrementAndGet();
    }
}
