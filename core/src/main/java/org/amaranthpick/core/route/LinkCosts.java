package org.amaranthpick.core.route;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.LinkSpec;
import org.amaranthpick.core.name.Identity;

/** Latency and bandwidth of the links of one configuration. Immutable. */
final class LinkCosts {
    private static final Link SAME_DOMAIN = new Link(Duration.ofNanos(100_000), 1_250_000_000L);
    private static final Link SAME_REGION = new Link(Duration.ofNanos(500_000), 1_250_000_000L);
    private static final Link FAR = new Link(Duration.ofMillis(30), 125_000_000L);

    private final Configuration mConfiguration;
    private final Map<Pair, Link> mLinks = new HashMap<>();

    /** Link as configured. */
    record Link(Duration latency, long bytesPerSecond) {}

    /** Ordered pair of places. */
    record Pair(Identity from, Identity to) {}

    LinkCosts(Configuration configuration) {
        mConfiguration = configuration;
        for (LinkSpec spec : configuration.manifest().links()) {
            Link link = new Link(spec.latency(), spec.bytesPerSecond());
            mLinks.put(new Pair(spec.from(), spec.to()), link);
            mLinks.put(new Pair(spec.to(), spec.from()), link);
        }
    }

    /**
     * Finds the link between two domains; unstated ones have defaults by region.
     *
     * @param from identity of kind DOMAIN
     * @param to identity of kind DOMAIN
     * @return the link
     */
    Link between(Identity from, Identity to) {
        Link link = mLinks.get(new Pair(from, to));
        if (link != null) {
            return link;
        }
        if (from.equals(to)) {
            return SAME_DOMAIN;
        }
        return sameRegion(from, to) ? SAME_REGION : FAR;
    }

    /**
     * Finds the link stated for a pair of upstreams.
     *
     * @param from identity of kind UPSTREAM
     * @param to identity of kind UPSTREAM
     * @return the link, if the pair differs from its domains
     */
    Optional<Link> betweenUpstreams(Identity from, Identity to) {
        return Optional.ofNullable(mLinks.get(new Pair(from, to)));
    }

    /**
     * Returns a number that differs when links differ.
     *
     * @return hash of the links
     */
    int signature() {
        return mLinks.hashCode();
    }

    private boolean sameRegion(Identity from, Identity to) {
        Optional<String> fromRegion = mConfiguration.domain(from).map(DomainSpec::region);
        Optional<String> toRegion = mConfiguration.domain(to).map(DomainSpec::region);
        return fromRegion.isPresent() && fromRegion.equals(toRegion);
    }
}
