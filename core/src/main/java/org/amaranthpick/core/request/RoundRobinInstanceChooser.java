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

/** Selects available instances round-robin and prefers those in the domain of this host. */
public final class RoundRobinInstanceChooser implements ServiceInstanceChooser {
    private final Identity mDomain;
    private final Predicate<UpstreamSpec> mIsUsable;
    private final AtomicInteger mNextIndex = new AtomicInteger();

    /**
     * Creates the chooser.
     *
     * @param domain domain of this host
     * @param isUsable returns whether an instance accepts new calls
     */
    public RoundRobinInstanceChooser(Identity domain, Predicate<UpstreamSpec> isUsable) {
        mDomain = domain;
        mIsUsable = isUsable;
    }

    @Override
    public Optional<UpstreamSpec> choose(
            Configuration configuration, ServiceSpec service, Set<Identity> excluded) {
        List<UpstreamSpec> usable =
                service.upstreams().stream()
                        .filter(id -> !excluded.contains(id))
                        .flatMap(id -> configuration.upstream(id).stream())
                        .filter(mIsUsable)
                        .toList();
        List<UpstreamSpec> sameDomain =
                usable.stream().filter(u -> u.domain().equals(mDomain)).toList();
        return nextOf(sameDomain.isEmpty() ? usable : sameDomain);
    }

    private Optional<UpstreamSpec> nextOf(List<UpstreamSpec> instances) {
        if (instances.isEmpty()) {
            return Optional.empty();
        }
        int index = Math.floorMod(mNextIndex.getAndIncrement(), instances.size());
        return Optional.of(instances.get(index));
    }
}
