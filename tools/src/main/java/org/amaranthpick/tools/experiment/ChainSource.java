package org.amaranthpick.tools.experiment;

import java.util.List;
import java.util.Set;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.layers.ChainFinder;
import org.amaranthpick.core.layers.EngineChain;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.register.UpstreamRegister;

/** Disjoint chains over what is known, for the policies that others are compared with. */
final class ChainSource {
    private static final int MOST_CHAINS = 16;
    private static final long KEPT_NS = 200_000_000;

    private final UpstreamRegister mRegister;
    private final UpstreamHealth mHealth;
    private final String mDomain;
    private List<EngineChain> mFound = List.of();
    private long mFoundNs = Long.MIN_VALUE;
    private long mVersions = -1;

    ChainSource(UpstreamRegister register, UpstreamHealth health, String domain) {
        mRegister = register;
        mHealth = health;
        mDomain = domain;
    }

    List<EngineChain> chains(GatewayService service, Set<String> tried, long nowNs) {
        long versions = mRegister.version() + mHealth.version();
        if (versions != mVersions || nowNs - mFoundNs > KEPT_NS) {
            mVersions = versions;
            mFoundNs = nowNs;
            mFound =
                    new ChainFinder(service.model().orElseThrow(), mDomain)
                            .findDisjoint(
                                    mRegister.findByService(service.name()),
                                    engine -> !mHealth.excluded(engine.id(), nowNs),
                                    MOST_CHAINS);
        }
        return mFound.stream().filter(chain -> tried.stream().noneMatch(chain::contains)).toList();
    }
}
