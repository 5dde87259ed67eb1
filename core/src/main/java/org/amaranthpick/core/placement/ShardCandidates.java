package org.amaranthpick.core.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.LinkSpec;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.member.Rendezvous;
import org.amaranthpick.core.name.Identity;

/**
 * Ranks the daemons that may own a control shard: the first few of its domain by rendezvous hashing
 * or, if no daemon of its domain accepts work, those of the nearest domain that has any.
 */
final class ShardCandidates {
    /** Maximum number of candidates per shard. */
    static final int MAX_CANDIDATES = 3;

    /** Distance to a domain without a direct link, also added for a domain of another region. */
    private static final Duration UNLINKED_DISTANCE = Duration.ofDays(1);

    private final MemberView mMembers;

    ShardCandidates(MemberView members) {
        mMembers = members;
    }

    /**
     * Returns the rank of this daemon among the candidates of a shard.
     *
     * @param configuration configuration in force
     * @param domain domain of the shard
     * @return 0 for the first candidate; empty if this daemon is not a candidate
     */
    Optional<Integer> rank(Configuration configuration, DomainSpec domain) {
        int index = hosts(configuration, domain).indexOf(mMembers.self().host());
        return index < 0 ? Optional.empty() : Optional.of(index);
    }

    /** Returns the hosts of the candidates of a shard in order of rank. */
    List<Identity> hosts(Configuration configuration, DomainSpec domain) {
        List<Member> working =
                mMembers.members().stream().filter(m -> m.state().acceptsWork()).toList();
        Optional<Identity> nearest = servingDomain(configuration, domain, working);
        List<Member> local =
                working.stream()
                        .filter(m -> nearest.filter(m.domain()::equals).isPresent())
                        .toList();
        return Rendezvous.rank(domain.id().key(), local, MAX_CANDIDATES).stream()
                .map(Member::host)
                .toList();
    }

    private static Optional<Identity> servingDomain(
            Configuration configuration, DomainSpec domain, List<Member> working) {
        return working.stream()
                .map(m -> new CandidateDomain(m.domain(), distance(configuration, domain, m)))
                .min(
                        Comparator.comparing(CandidateDomain::distance)
                                .thenComparing(CandidateDomain::domain))
                .map(CandidateDomain::domain);
    }

    private static Duration distance(
            Configuration configuration, DomainSpec domain, Member member) {
        if (member.domain().equals(domain.id())) {
            return Duration.ZERO;
        }
        Duration linkLatency =
                configuration.manifest().links().stream()
                        .filter(link -> connects(link, domain.id(), member.domain()))
                        .map(LinkSpec::latency)
                        .min(Comparator.naturalOrder())
                        .orElse(UNLINKED_DISTANCE);
        boolean sameRegion = member.region().equals(domain.region());
        return sameRegion ? linkLatency.plusNanos(1) : linkLatency.plus(UNLINKED_DISTANCE);
    }

    private static boolean connects(LinkSpec link, Identity first, Identity second) {
        return (link.from().equals(first) && link.to().equals(second))
                || (link.from().equals(second) && link.to().equals(first));
    }

    private record CandidateDomain(Identity domain, Duration distance) {}
}
