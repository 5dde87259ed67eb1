package org.amaranthpick.core.route;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.LinkSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Latency and bandwidth of the links of one configuration, with defaults for links that it does not
 * list. Immutable.
 */
final class LinkCosts {
    private static final Link SAME_DOMAIN = new Link(Duration.ofNanos(100_000), 1_250_000_000L);
    private static final Link SAME_REGION = new Link(Duration.ofNanos(500_000), 1_250_000_000L);
    private static final Link OTHER_REGION = new Link(Duration.ofMillis(30), 125_000_000L);

    private final Configuration mConfiguration;
    private final Map<Endpoints, Link> mLinks = new HashMap<>();

    /** Latency and bandwidth of a link. */
    record Link(Duration latency, long bytesPerSecond) {}

    /** Ordered pair of domains or upstreams. */
    record Endpoints(Identity from, Identity to) {}

    LinkCosts(Configuration configuration) {
        mConfiguration = configuration;
        for (LinkSpec spec : configuration.manifest().links()) {
            Link link = new Link(spec.latency(), spec.bytesPerSecond());
            mLinks.put(new Endpoints(spec.from(), spec.to()), link);
            mLinks.put(new Endpoints(spec.to(), spec.from()), link);
        }
    }

    /**
     * Returns the link between two domains. A link that is not configured has a default by region.
     *
     * @param from identity of kind DOMAIN
     * @param to identity of kind DOMAIN
     * @return the link
     */
    Link betweenDomains(Identity from, Identity to) {
        Link link = mLinks.get(new Endpoints(from, to));
        if (link != null) {
            return link;
        }
        if (from.equals(to)) {
            return SAME_DOMAIN;
        }
        return sameRegion(from, to) ? SAME_REGION : OTHER_REGION;
    }

    /**
     * Returns the link that is configured for a pair of upstreams.
     *
     * @param from identity of kind UPSTREAM
     * @param to identity of kind UPSTREAM
     * @return the link, empty if the link of their domains applies
     */
    Optional<Link> betweenUpstreams(Identity from, Identity to) {
        return Optional.ofNullable(mLinks.get(new Endpoints(from, to)));
    }

    /**
     * Returns a hash of the configured links, used to detect changes.
     *
     * @return hash code
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
