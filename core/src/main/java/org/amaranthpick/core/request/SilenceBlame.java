package org.amaranthpick.core.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.Hop;

/**
 * Decides which stages to leave out after a chain fell silent. Only the first stage is seen from
 * here, so it is left out first; a second silence points to the stages that both chains share.
 */
final class SilenceBlame {
    private Optional<Chain> mSilent = Optional.empty();

    /**
     * Notes a silent chain.
     *
     * @param chain the chain
     * @return upstreams to leave out
     */
    Set<Identity> blame(Chain chain) {
        Set<Identity> blamed = new HashSet<>();
        blamed.add(chain.hops().get(0).upstream());
        for (Hop hop : chain.hops()) {
            if (mSilent.filter(silent -> silent.uses(hop.upstream())).isPresent()) {
                blamed.add(hop.upstream());
            }
        }
        mSilent = Optional.of(chain);
        return blamed;
    }
}
