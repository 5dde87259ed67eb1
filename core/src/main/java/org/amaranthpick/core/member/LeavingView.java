package org.amaranthpick.core.member;

import java.time.Instant;
import java.util.Optional;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Read access to the hosts and upstreams that are leaving. Never blocks. */
@FunctionalInterface
public interface LeavingView {
    /**
     * Returns since when a host or an upstream is known to be leaving.
     *
     * @param target identity of kind HOST or UPSTREAM
     * @return when this daemon learnt of it, empty if the target is not leaving
     */
    Optional<Instant> leavingSince(Identity target);

    /**
     * Returns since when an upstream is known to be leaving, by itself or because its host leaves.
     *
     * @param upstream upstream
     * @return when this daemon learnt of it, empty if the upstream is not leaving
     */
    default Optional<Instant> leavingSince(UpstreamSpec upstream) {
        Optional<Instant> since = leavingSince(upstream.id());
        return since.isPresent() ? since : upstream.host().flatMap(this::leavingSince);
    }
}
