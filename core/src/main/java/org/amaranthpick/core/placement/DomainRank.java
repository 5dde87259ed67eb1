package org.amaranthpick.core.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import org.amaranthpick.core.name.Identity;

/** Ranking of the domains for one model version, the same on every daemon. */
final class DomainRank {
    private DomainRank() {}

    /** Returns the rank of a domain; the highest rank comes first. */
    static long of(Identity model, Identity domain) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(domain.key())
                .putString(model.key())
                .getAsLong();
    }
}
