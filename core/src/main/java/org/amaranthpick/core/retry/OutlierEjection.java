package org.amaranthpick.core.retry;

import org.amaranthpick.core.name.Identity;

/** Temporarily ejects upstreams that fail, so that no requests are sent to them. Thread-safe. */
public interface OutlierEjection {
    /**
     * Records an attempt that succeeded.
     *
     * @param upstream the upstream
     */
    void onSuccess(Identity upstream);

    /**
     * Records an attempt that failed.
     *
     * @param upstream the upstream
     * @param reason cause of the failure
     */
    void onFailure(Identity upstream, String reason);

    /**
     * Checks whether an upstream is ejected.
     *
     * @param upstream the upstream
     * @return true while it is ejected
     */
    boolean ejected(Identity upstream);
}
