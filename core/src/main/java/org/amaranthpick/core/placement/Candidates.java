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
 * Ranks the daemons that look after a control shard: the first few of its domain by rendezvous, or
 * those of the nearest domain that has any.
 */
final class Candidates {
    /** Daemons that look after one shard. */
    static final int COUNT = 3;

    private static final Duration UNLINKED = Duration.ofDays(1);

    private final MemberView mMembers;

    Candidates(MemberView members) {
        mMembers = members;
    }

    /**
     * Ranks this daemon for a shard.
     *
     * @param configuration configuration in force
     * @param domain domain of the shard
     * @return 0 for the first candidate; empty if this daemon is none
     */
    Optional<Integer> rank(Configuration configuration, DomainSpec domain) {
        int index = hosts(configuration, domain).indexOf(mMembers.self().host());
        return index < 0 ? Optional.empty() : Optional.of(index);
    }

    /** Returns the hosts that look after a shard, the first candidate first. */
    List<Identity> hosts(Configuration configuration, DomainSpec domain) {
        List<Member> working =
                mMembers.members().stream().filter(m -> m.state().acceptsWork()).toList();
        Optional<Identity> home = servingDomain(configuration, domain, working);
        List<Member> local =
                working.stream().filter(m -> home.filter(m.domain()::equals).isPresent()).toList();
        return Rendezvous.rank(domain.id().key(), local, COUNT).stream().map(Member::host).toList();
    }

    private static Optional<Identity> servingDomain(
            Configuration configuration, DomainSpec domain, List<Member> working) {
        return working.stream()
                .map(m -> new Near(m.domain(), distance(configuration, domain, m)))
                .min(Comparator.comparing(Near::distance).thenComparing(Near::domain))
                .map(Near::domain);
    }

    private static Duration distance(
            Configuration configuration, DomainSpec domain, Member member) {
        if (member.domain().equals(domain.id())) {
            return Duration.ZERO;
        }
        Duration linked =
                configuration.manifest().links().stream()
                        .filter(link -> joins(link, domain.id(), member.domain()))
                        .map(LinkSpec::latency)
                        .min(Comparator.naturalOrder())
                        .orElse(UNLINKED);
        boolean sameRegion = member.region().equals(domain.region());
        return sameRegion ? linked.plusNanos(1) : linked.plus(UNLINKED);
    }

    private static boolean joins(LinkSpec link, Identity one, Identity other) {
        return (link.from().equals(one) && link.to().equals(other))
                || (link.from().equals(other) && link.to().equals(one));
    }

    private record Near(Identity domain, Duration distance) {}
}
