package org.amaranthpick.core.member;

import java.time.Instant;
import java.util.Optional;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Read access to what is leaving. Never waits. */
@FunctionalInterface
public interface LeavingView {
    /**
     * Tells since when a host or an upstream is known to leave.
     *
     * @param target identity of kind HOST or UPSTREAM
     * @return when this daemon learnt of it, empty if the target stays
     */
    Optional<Instant> leavingSince(Identity target);

    /**
     * Tells since when an upstream is known to leave, by itself or with its host.
     *
     * @param upstream upstream
     * @return when this daemon learnt of it, empty if the upstream stays
     */
    default Optional<Instant> leavingSince(UpstreamSpec upstream) {
        Optional<Instant> own = leavingSince(upstream.id());
        return own.isPresent() ? own : upstream.host().flatMap(this::leavingSince);
    }
}
