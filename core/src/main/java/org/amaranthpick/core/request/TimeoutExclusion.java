package org.amaranthpick.core.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.Hop;

/**
 * Selects the stages to exclude after a chain timed out. Only the first stage is connected to this
 * host, so it is excluded first; after a second timeout, the stages common to both chains are
 * excluded as well.
 */
final class TimeoutExclusion {
    private Optional<Chain> mTimedOutChain = Optional.empty();

    /**
     * Records a chain that timed out.
     *
     * @param chain the chain
     * @return upstreams to exclude from the next chain
     */
    Set<Identity> stagesToExclude(Chain chain) {
        Set<Identity> excluded = new HashSet<>();
        excluded.add(chain.hops().get(0).upstream());
        for (Hop hop : chain.hops()) {
            if (mTimedOutChain.filter(previous -> previous.uses(hop.upstream())).isPresent()) {
                excluded.add(hop.upstream());
            }
        }
        mTimedOutChain = Optional.of(chain);
        return excluded;
    }
}
