package org.amaranthpick.core.request;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.ServiceSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Spreads calls over the usable instances in turn, those of the own domain first. */
public final class SpreadInstances implements ServiceInstanceChooser {
    private final Identity mDomain;
    private final Predicate<UpstreamSpec> mUsable;
    private final AtomicInteger mTurn = new AtomicInteger();

    /**
     * Creates the chooser.
     *
     * @param domain domain of this daemon
     * @param usable tells whether an instance takes new work at present
     */
    public SpreadInstances(Identity domain, Predicate<UpstreamSpec> usable) {
        mDomain = domain;
        mUsable = usable;
    }

    @Override
    public Optional<UpstreamSpec> choose(
            Configuration configuration, ServiceSpec service, Set<Identity> excluded) {
        List<UpstreamSpec> usable =
                service.upstreams().stream()
                        .filter(id -> !excluded.contains(id))
                        .flatMap(id -> configuration.upstream(id).stream())
                        .filter(mUsable)
                        .toList();
        List<UpstreamSpec> near = usable.stream().filter(u -> u.domain().equals(mDomain)).toList();
        return inTurn(near.isEmpty() ? usable : near);
    }

    private Optional<UpstreamSpec> inTurn(List<UpstreamSpec> instances) {
        if (instances.isEmpty()) {
            return Optional.empty();
        }
        int turn = Math.floorMod(mTurn.getAndIncrement(), instances.size());
        return Optional.of(instances.get(turn));
    }
}
