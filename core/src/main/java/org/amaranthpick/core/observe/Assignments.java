package org.amaranthpick.core.observe;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.member.Rendezvous;
import org.amaranthpick.core.name.Identity;

/**
 * Tells which engines this daemon observes; service instances have no status to read. Each is
 * observed by two daemons of its domain, chosen by rendezvous; a domain without daemons is observed
 * from its region, a region without from anywhere. Computed anew only when the configuration or the
 * membership changed.
 */
final class Assignments {
    /** Observers of one upstream. */
    static final int OBSERVER_COUNT = 2;

    private static final String KEY_PREFIX = "observe/";

    private final ConfigurationView mConfiguration;
    private final MemberView mMembers;
    private int mSignature;
    private Map<Identity, Assignment> mAssigned = Map.of();

    /**
     * Upstream that this daemon observes.
     *
     * @param spec the upstream
     * @param rank 0 for the first observer, 1 for the second
     */
    record Assignment(UpstreamSpec spec, int rank) {}

    Assignments(ConfigurationView configuration, MemberView members) {
        mConfiguration = configuration;
        mMembers = members;
    }

    /**
     * Returns the upstreams that this daemon observes now.
     *
     * @return assignments by upstream
     */
    synchronized Map<Identity, Assignment> current() {
        Optional<Configuration> configuration = mConfiguration.current();
        if (configuration.isEmpty()) {
            return Map.of();
        }
        List<Member> members =
                mMembers.members().stream().filter(m -> m.state().acceptsWork()).toList();
        int signature = Objects.hash(configuration.get().generation(), hosts(members));
        if (signature != mSignature) {
            mAssigned = assign(configuration.get(), members);
            mSignature = signature;
        }
        return mAssigned;
    }

    /** Tells whether an upstream is part of the configuration in force; true before the first. */
    boolean isConfigured(Identity upstream) {
        Optional<Configuration> configuration = mConfiguration.current();
        return configuration.isEmpty() || configuration.get().upstream(upstream).isPresent();
    }

    private static List<Identity> hosts(List<Member> members) {
        return members.stream().map(Member::host).toList();
    }

    private Map<Identity, Assignment> assign(Configuration configuration, List<Member> members) {
        Map<Identity, List<Member>> byDomain = new HashMap<>();
        Map<String, List<Member>> byRegion = new HashMap<>();
        for (Member member : members) {
            byDomain.computeIfAbsent(member.domain(), key -> new ArrayList<>()).add(member);
            byRegion.computeIfAbsent(member.region(), key -> new ArrayList<>()).add(member);
        }
        Map<Identity, Assignment> assigned = new HashMap<>();
        Identity self = mMembers.self().host();
        for (UpstreamSpec spec : configuration.manifest().upstreams()) {
            if (spec.role() != UpstreamSpec.Role.ENGINE) {
                continue;
            }
            List<Member> candidates = byDomain.get(spec.domain());
            if (candidates == null) {
                String region =
                        configuration.domain(spec.domain()).map(DomainSpec::region).orElse("");
                candidates = byRegion.getOrDefault(region, members);
            } else if (!spec.domain().equals(mMembers.self().domain())) {
                continue;
            }
            List<Member> observers =
                    Rendezvous.rank(KEY_PREFIX + spec.id().key(), candidates, OBSERVER_COUNT);
            int rank = hosts(observers).indexOf(self);
            if (rank >= 0) {
                assigned.put(spec.id(), new Assignment(spec, rank));
            }
        }
        return assigned;
    }
}
