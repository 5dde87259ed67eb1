package org.amaranthpick.core.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.member.MemberMessage.Beat;
import org.amaranthpick.core.member.MemberMessage.News;
import org.amaranthpick.core.member.MemberMessage.ReachReport;
import org.amaranthpick.core.name.Identity;

/**
 * Heartbeats between domains. Only the relays of a domain send them; which daemons those are
 * follows from the table. Guarded by the lock of the membership.
 */
final class DomainLinks {
    private static final Duration REPORT_PERIOD = Duration.ofSeconds(10);

    private final MembershipState mState;
    private final HostList mHosts;
    private final RandomGenerator mRandom;
    private final Map<Identity, Long> mHeardNs = new HashMap<>();
    private List<Identity> mReported = List.of();
    private long mReportedNs;
    private long mTick;

    DomainLinks(MembershipState state, HostList hosts, RandomGenerator random) {
        mState = state;
        mHosts = hosts;
        mRandom = random;
    }

    void step() {
        if (!mState.isRelay()) {
            mHeardNs.clear();
            mReported = List.of();
            return;
        }
        mTick++;
        long nowNs = mState.scheduler().monotonicNs();
        for (Identity domain : otherDomains()) {
            mHeardNs.putIfAbsent(domain, nowNs);
            beat(domain, isSilent(domain, nowNs));
        }
        report(nowNs);
    }

    void onBeat(Beat beat) {
        mHeardNs.put(beat.domain(), mState.scheduler().monotonicNs());
    }

    /** Forgets silences that this daemon slept through. */
    void onPaused() {
        long nowNs = mState.scheduler().monotonicNs();
        mHeardNs.replaceAll((domain, heardNs) -> nowNs);
    }

    private void beat(Identity domain, boolean silent) {
        Optional<Identity> target = silent && mTick % 2 == 0 ? anyHost(domain) : relay(domain);
        target.ifPresent(
                host ->
                        mState.network()
                                .send(
                                        host,
                                        new Beat(
                                                mState.ownDomain(),
                                                mState.outsideHeartbeat(domain))));
    }

    private Optional<Identity> relay(Identity domain) {
        List<Member> relays = mState.relays(domain);
        return relays.isEmpty()
                ? anyHost(domain)
                : Optional.of(relays.get((int) (mTick % relays.size())).host());
    }

    private Optional<Identity> anyHost(Identity domain) {
        List<Identity> hosts = new ArrayList<>(mHosts.daemonsOf(domain));
        mState.table().live(domain).forEach(member -> hosts.add(member.host()));
        return hosts.isEmpty()
                ? Optional.empty()
                : Optional.of(hosts.get(mRandom.nextInt(hosts.size())));
    }

    private Set<Identity> otherDomains() {
        Set<Identity> domains = new TreeSet<>(mState.table().domains());
        domains.addAll(mHosts.daemonDomains());
        domains.remove(mState.ownDomain());
        return domains;
    }

    private boolean isSilent(Identity domain, long nowNs) {
        long silentNs = nowNs - mHeardNs.getOrDefault(domain, nowNs);
        return silentNs > mState.settings().domainTimeout().toNanos();
    }

    private void report(long nowNs) {
        List<Identity> silent =
                mHeardNs.keySet().stream().filter(d -> isSilent(d, nowNs)).sorted().toList();
        boolean due = nowNs - mReportedNs >= REPORT_PERIOD.toNanos() && !silent.isEmpty();
        if (silent.equals(mReported) && !due) {
            return;
        }
        mReported = silent;
        mReportedNs = nowNs;
        long sequence = mState.scheduler().instant().toEpochMilli();
        ReachReport report = new ReachReport(mState.self().host(), sequence, silent);
        mState.apply(new News(List.of(), List.of(), List.of(report)));
    }
}
