package org.amaranthpick.core.retry;

import org.amaranthpick.core.name.Identity;

/** Takes upstreams that fail out of the choice for a while. Thread-safe. */
public interface OutlierEjection {
    /**
     * An upstream served an attempt.
     *
     * @param upstream the upstream
     */
    void onSuccess(Identity upstream);

    /**
     * An upstream failed an attempt.
     *
     * @param upstream the upstream
     * @param reason what was seen
     */
    void onFailure(Identity upstream, String reason);

    /**
     * Tells whether an upstream is out of the choice.
     *
     * @param upstream the upstream
     * @return true if it is ejected now
     */
    boolean ejected(Identity upstream);
}
