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
import org.amaranthpick.core.member.MemberMessage.DomainHeartbeat;
import org.amaranthpick.core.member.MemberMessage.UnreachableReport;
import org.amaranthpick.core.member.MemberMessage.Updates;
import org.amaranthpick.core.name.Identity;

/**
 * Exchanges heartbeats with other domains and reports domains that have gone silent. Only the
 * relays of a domain do so; they are chosen from the member table by rendezvous hashing. Guarded by
 * the lock of the membership.
 */
final class DomainMonitor {
    private static final Duration REPORT_PERIOD = Duration.ofSeconds(10);

    private final MembershipState mState;
    private final HostDirectoryCache mHostDirectory;
    private final RandomGenerator mRandom;
    private final Map<Identity, Long> mLastHeartbeatNs = new HashMap<>();
    private List<Identity> mReportedSilent = List.of();
    private long mLastReportNs;
    private long mStep;

    DomainMonitor(MembershipState state, HostDirectoryCache hostDirectory, RandomGenerator random) {
        mState = state;
        mHostDirectory = hostDirectory;
        mRandom = random;
    }

    void step() {
        if (!mState.isRelay()) {
            mLastHeartbeatNs.clear();
            mReportedSilent = List.of();
            return;
        }
        mStep++;
        long nowNs = mState.scheduler().monotonicNs();
        for (Identity domain : otherDomains()) {
            mLastHeartbeatNs.putIfAbsent(domain, nowNs);
            sendHeartbeat(domain, isSilent(domain, nowNs));
        }
        reportSilentDomains(nowNs);
    }

    void onHeartbeat(DomainHeartbeat domainHeartbeat) {
        mLastHeartbeatNs.put(domainHeartbeat.domain(), mState.scheduler().monotonicNs());
    }

    /** Restarts the timeouts of all domains after this daemon itself was paused. */
    void onPaused() {
        long nowNs = mState.scheduler().monotonicNs();
        mLastHeartbeatNs.replaceAll((domain, lastNs) -> nowNs);
    }

    private void sendHeartbeat(Identity domain, boolean silent) {
        Optional<Identity> target =
                silent && mStep % 2 == 0 ? randomHost(domain) : nextRelay(domain);
        target.ifPresent(
                host ->
                        mState.network()
                                .send(
                                        host,
                                        new DomainHeartbeat(
                                                mState.ownDomain(),
                                                mState.outsideHeartbeat(domain))));
    }

    private Optional<Identity> nextRelay(Identity domain) {
        List<Member> relays = mState.relays(domain);
        return relays.isEmpty()
                ? randomHost(domain)
                : Optional.of(relays.get((int) (mStep % relays.size())).host());
    }

    private Optional<Identity> randomHost(Identity domain) {
        List<Identity> hosts = new ArrayList<>(mHostDirectory.daemonsOf(domain));
        mState.table().live(domain).forEach(member -> hosts.add(member.host()));
        return hosts.isEmpty()
                ? Optional.empty()
                : Optional.of(hosts.get(mRandom.nextInt(hosts.size())));
    }

    private Set<Identity> otherDomains() {
        Set<Identity> domains = new TreeSet<>(mState.table().domains());
        domains.addAll(mHostDirectory.daemonDomains());
        domains.remove(mState.ownDomain());
        return domains;
    }

    private boolean isSilent(Identity domain, long nowNs) {
        long silentNs = nowNs - mLastHeartbeatNs.getOrDefault(domain, nowNs);
        return silentNs > mState.settings().domainTimeout().toNanos();
    }

    private void reportSilentDomains(long nowNs) {
        List<Identity> silent =
                mLastHeartbeatNs.keySet().stream()
                        .filter(d -> isSilent(d, nowNs))
                        .sorted()
                        .toList();
        boolean due = nowNs - mLastReportNs >= REPORT_PERIOD.toNanos() && !silent.isEmpty();
        if (silent.equals(mReportedSilent) && !due) {
            return;
        }
        mReportedSilent = silent;
        mLastReportNs = nowNs;
        long sequence = mState.scheduler().instant().toEpochMilli();
        UnreachableReport report = new UnreachableReport(mState.self().host(), sequence, silent);
        mState.apply(new Updates(List.of(), List.of(), List.of(report)));
    }
}
