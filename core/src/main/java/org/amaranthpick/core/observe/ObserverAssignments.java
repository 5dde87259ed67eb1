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
 * Assigns engines to the daemons that observe them; service instances report no status. Rendezvous
 * hashing selects two daemons of the engine's domain. If the domain has no daemon, daemons of its
 * region are selected, and if the region has none, any daemons. The assignments are recomputed only
 * after a change of the configuration or the membership.
 */
final class ObserverAssignments {
    /** Number of daemons that observe each upstream. */
    static final int OBSERVERS_PER_UPSTREAM = 2;

    private static final String RENDEZVOUS_KEY_PREFIX = "observe/";

    private final ConfigurationView mConfiguration;
    private final MemberView mMembers;
    private int mInputsHash;
    private Map<Identity, Assignment> mAssignments = Map.of();

    /**
     * Upstream that this daemon observes.
     *
     * @param spec the upstream
     * @param rank 0 for the primary observer, 1 for the secondary
     */
    record Assignment(UpstreamSpec spec, int rank) {}

    ObserverAssignments(ConfigurationView configuration, MemberView members) {
        mConfiguration = configuration;
        mMembers = members;
    }

    /**
     * Returns the current assignments of this daemon.
     *
     * @return assignments by upstream identity
     */
    synchronized Map<Identity, Assignment> current() {
        Optional<Configuration> configuration = mConfiguration.current();
        if (configuration.isEmpty()) {
            return Map.of();
        }
        List<Member> members =
                mMembers.members().stream().filter(m -> m.state().acceptsWork()).toList();
        int inputsHash = Objects.hash(configuration.get().generation(), hostsOf(members));
        if (inputsHash != mInputsHash) {
            mAssignments = computeAssignments(configuration.get(), members);
            mInputsHash = inputsHash;
        }
        return mAssignments;
    }

    /**
     * Returns whether an upstream is part of the configuration in force, or true if there is no
     * configuration yet.
     */
    boolean isConfigured(Identity upstream) {
        Optional<Configuration> configuration = mConfiguration.current();
        return configuration.isEmpty() || configuration.get().upstream(upstream).isPresent();
    }

    private static List<Identity> hostsOf(List<Member> members) {
        return members.stream().map(Member::host).toList();
    }

    private Map<Identity, Assignment> computeAssignments(
            Configuration configuration, List<Member> members) {
        Map<Identity, List<Member>> byDomain = new HashMap<>();
        Map<String, List<Member>> byRegion = new HashMap<>();
        for (Member member : members) {
            byDomain.computeIfAbsent(member.domain(), key -> new ArrayList<>()).add(member);
            byRegion.computeIfAbsent(member.region(), key -> new ArrayList<>()).add(member);
        }
        Map<Identity, Assignment> assignments = new HashMap<>();
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
                    Rendezvous.rank(
                            RENDEZVOUS_KEY_PREFIX + spec.id().key(),
                            candidates,
                            OBSERVERS_PER_UPSTREAM);
            int rank = hostsOf(observers).indexOf(self);
            if (rank >= 0) {
                assignments.put(spec.id(), new Assignment(spec, rank));
            }
        }
        return assignments;
    }
}
