package org.amaranthpick.core.observe;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.member.Rendezvous;

/** Tells which daemons observe an upstream: two of its domain, by rendezvous. */
final class ObserverRanks {
    /** Observers of one upstream. */
    static final int OBSERVER_COUNT = 2;

    private static final String KEY_PREFIX = "observe/";

    private final MemberView mMembers;

    ObserverRanks(MemberView members) {
        mMembers = members;
    }

    /**
     * Ranks the observers of an upstream. A domain without daemons is observed from its region, a
     * region without daemons from anywhere.
     *
     * @param configuration configuration that gives the regions
     * @param upstream the upstream
     * @return daemons that observe it, first one first
     */
    List<Member> observers(Configuration configuration, UpstreamSpec upstream) {
        List<Member> near = new ArrayList<>();
        List<Member> region = new ArrayList<>();
        List<Member> any = new ArrayList<>();
        Optional<String> upstreamRegion =
                configuration.domain(upstream.domain()).map(DomainSpec::region);
        for (Member member : mMembers.members()) {
            if (!member.state().acceptsWork()) {
                continue;
            }
            any.add(member);
            if (member.domain().equals(upstream.domain())) {
                near.add(member);
            }
            if (upstreamRegion.isPresent() && upstreamRegion.get().equals(member.region())) {
                region.add(member);
            }
        }
        List<Member> candidates = near.isEmpty() ? region : near;
        candidates = candidates.isEmpty() ? any : candidates;
        return Rendezvous.rank(KEY_PREFIX + upstream.id().key(), candidates, OBSERVER_COUNT);
    }
}
