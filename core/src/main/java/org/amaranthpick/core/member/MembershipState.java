package org.amaranthpick.core.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.member.MemberMessage.Heartbeat;
import org.amaranthpick.core.member.MemberMessage.UnreachableReport;
import org.amaranthpick.core.member.MemberMessage.Updates;
import org.amaranthpick.core.member.MemberMessage.UrgentUpdates;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Scheduler;

/**
 * Member records, leaving notices and reports known to this daemon, with the updates that are
 * queued for others. Guarded by the lock of the membership.
 */
final class MembershipState {
    private static final Duration REFUTATION_REQUEST_PERIOD = Duration.ofSeconds(1);
    private static final Duration REPORT_RETENTION = Duration.ofSeconds(30);
    private static final int MAX_CHANGES_PER_BATCH = 32;

    private final Scheduler mScheduler;
    private final PeerNetwork mNetwork;
    private final DecisionLog mLog;
    private final MembershipSettings mSettings;
    private final MemberTable mTable = new MemberTable();
    private final LeavingTable mLeaving;
    private final UpdateQueue mDomainUpdates = new UpdateQueue();
    private final Map<Identity, UpdateQueue> mOutsideUpdates = new HashMap<>();
    private final Map<Identity, UnreachableReport> mReports = new HashMap<>();
    private final Map<Identity, Long> mReportReceivedNs = new HashMap<>();
    private final Map<Identity, Long> mRefutationRequestedNs = new HashMap<>();
    private final Map<Identity, List<Member>> mRelays = new HashMap<>();
    private long mRelaysVersion = -1;
    private Member mSelf;
    private GenerationExchange mGenerationExchange = GenerationExchange.NONE;

    MembershipState(
            Member self,
            PeerNetwork network,
            Scheduler scheduler,
            DecisionLog log,
            MembershipSettings settings) {
        mSelf = self;
        mNetwork = network;
        mScheduler = scheduler;
        mLog = log;
        mSettings = settings;
        mLeaving = new LeavingTable(settings.noticeRetention());
        mTable.merge(self, scheduler.monotonicNs());
    }

    Member self() {
        return mSelf;
    }

    Identity ownDomain() {
        return mSelf.domain();
    }

    MemberTable table() {
        return mTable;
    }

    LeavingTable leaving() {
        return mLeaving;
    }

    MembershipSettings settings() {
        return mSettings;
    }

    Scheduler scheduler() {
        return mScheduler;
    }

    PeerNetwork network() {
        return mNetwork;
    }

    void setGenerationExchange(GenerationExchange exchange) {
        mGenerationExchange = exchange;
    }

    GenerationExchange generationExchange() {
        return mGenerationExchange;
    }

    /** Returns the live daemons of this domain except this one. */
    List<Member> domainPeers() {
        List<Member> neighbours = mTable.live(ownDomain());
        neighbours.removeIf(member -> member.host().equals(mSelf.host()));
        return neighbours;
    }

    /** Returns the daemons of a domain that exchange messages with other domains, by rank. */
    List<Member> relays(Identity domain) {
        if (mRelaysVersion != mTable.version()) {
            mRelays.clear();
            mRelaysVersion = mTable.version();
        }
        return mRelays.computeIfAbsent(domain, this::rankRelays);
    }

    boolean isRelay() {
        return relays(ownDomain()).stream().anyMatch(m -> m.host().equals(mSelf.host()));
    }

    /** Returns the heartbeat for a daemon of this domain. */
    Heartbeat heartbeat() {
        Updates updates = mDomainUpdates.next(mTable.rows(ownDomain()).size());
        return new Heartbeat(mGenerationExchange.generation(), totalDigest(), updates);
    }

    /** Returns the heartbeat for the relays of another domain. */
    Heartbeat outsideHeartbeat(Identity domain) {
        UpdateQueue queue = mOutsideUpdates.computeIfAbsent(domain, d -> new UpdateQueue());
        Updates updates = queue.next(1);
        return new Heartbeat(mGenerationExchange.generation(), digest(ownDomain()), updates);
    }

    long digest(Identity domain) {
        return mTable.digest(domain) ^ mLeaving.digests().getOrDefault(domain, 0L);
    }

    Map<Identity, Long> digests() {
        Map<Identity, Long> digests = new TreeMap<>(mLeaving.digests());
        mTable.domains().forEach(d -> digests.merge(d, mTable.digest(d), (a, b) -> a ^ b));
        return digests;
    }

    long totalDigest() {
        return mTable.totalDigest() ^ mLeaving.totalDigest();
    }

    /**
     * Applies updates and returns those that changed something. They are also queued for others,
     * except a batch of more than {@link #MAX_CHANGES_PER_BATCH}.
     */
    Updates apply(Updates updates) {
        Updates applied = merge(updates);
        int size = applied.members().size() + applied.notices().size();
        if (!applied.isEmpty() && size <= MAX_CHANGES_PER_BATCH) {
            mDomainUpdates.add(applied);
            queueOutside(applied);
        }
        return applied;
    }

    /** Sends a daemon its own record as known here, so that it can refute suspicion or death. */
    void requestRefutation(Identity host) {
        long nowNs = mScheduler.monotonicNs();
        Long lastNs = mRefutationRequestedNs.get(host);
        Optional<Member> current = mTable.find(host);
        boolean due = lastNs == null || nowNs - lastNs >= REFUTATION_REQUEST_PERIOD.toNanos();
        if (due && current.isPresent() && !host.equals(mSelf.host())) {
            mRefutationRequestedNs.put(host, nowNs);
            send(
                    current.get(),
                    new UrgentUpdates(new Updates(List.of(current.get()), List.of(), List.of())));
        }
    }

    /** Changes the state or the incarnation of this daemon and queues the change. */
    void updateSelf(MemberState state, long incarnation) {
        mSelf = mSelf.with(state, incarnation);
        mTable.merge(mSelf, mScheduler.monotonicNs());
        Updates updates = new Updates(List.of(mSelf), List.of(), List.of());
        mDomainUpdates.add(updates);
        queueOutside(updates);
        recordMember(mSelf);
    }

    /** Returns the domains that no relay of this domain can reach. */
    Set<Identity> unreachableDomains() {
        List<Member> relays = relays(ownDomain());
        Set<Identity> unreachable = new HashSet<>();
        for (Member relay : relays) {
            unreachable.addAll(unreachableFrom(relay));
        }
        relays.forEach(relay -> unreachable.retainAll(unreachableFrom(relay)));
        return unreachable;
    }

    private List<Identity> unreachableFrom(Member relay) {
        UnreachableReport report = mReports.get(relay.host());
        return report == null ? List.of() : report.unreachable();
    }

    /** Removes records, notices and reports past their retention time. */
    void expire() {
        long nowNs = mScheduler.monotonicNs();
        mTable.forgetDead(nowNs - mSettings.tombstoneRetention().toNanos());
        mLeaving.expire(mScheduler.instant());
        mRefutationRequestedNs.values().removeIf(ns -> nowNs - ns > REPORT_RETENTION.toNanos());
        mReportReceivedNs.values().removeIf(ns -> nowNs - ns > REPORT_RETENTION.toNanos());
        mReports.keySet().retainAll(mReportReceivedNs.keySet());
    }

    void send(Member to, MemberMessage message) {
        mNetwork.send(to.host(), message);
    }

    private Updates merge(Updates updates) {
        List<Member> members = new ArrayList<>();
        for (Member received : updates.members()) {
            members.addAll(mergeMember(received));
        }
        List<LeavingNotice> notices = new ArrayList<>();
        for (LeavingNotice notice : updates.notices()) {
            if (mLeaving.merge(notice, mScheduler.instant())) {
                notices.add(notice);
                recordNotice(notice);
            }
        }
        List<UnreachableReport> reports = new ArrayList<>();
        for (UnreachableReport report : updates.reports()) {
            if (mergeReport(report)) {
                reports.add(report);
            }
        }
        return new Updates(members, notices, reports);
    }

    private List<Member> mergeMember(Member received) {
        if (received.host().equals(mSelf.host())) {
            refuteOrLeave(received);
            return List.of();
        }
        List<Member> changed = mTable.merge(received, mScheduler.monotonicNs());
        changed.forEach(this::recordMember);
        if (changed.isEmpty() && received.state() != MemberState.DEAD) {
            mTable.find(received.host())
                    .filter(current -> current.state() == MemberState.DEAD)
                    .filter(current -> current.incarnation() == received.incarnation())
                    .ifPresent(current -> requestRefutation(current.host()));
        }
        return changed;
    }

    private void refuteOrLeave(Member received) {
        if (!MemberTable.isAhead(received, mSelf)) {
            return;
        }
        boolean sameIncarnation = received.incarnation() == mSelf.incarnation();
        if (sameIncarnation && received.state() == MemberState.LEAVING) {
            updateSelf(MemberState.LEAVING, mSelf.incarnation());
        } else {
            updateSelf(mSelf.state(), received.incarnation() + 1);
        }
    }

    private boolean mergeReport(UnreachableReport report) {
        UnreachableReport current = mReports.get(report.reporter());
        if (current != null && current.sequence() >= report.sequence()) {
            return false;
        }
        mReports.put(report.reporter(), report);
        mReportReceivedNs.put(report.reporter(), mScheduler.monotonicNs());
        return true;
    }

    private void queueOutside(Updates applied) {
        if (!isRelay()) {
            return;
        }
        Updates ownUpdates =
                new Updates(
                        applied.members().stream()
                                .filter(m -> m.domain().equals(ownDomain()))
                                .toList(),
                        applied.notices().stream()
                                .filter(n -> n.domain().equals(ownDomain()))
                                .toList(),
                        List.of());
        if (!ownUpdates.isEmpty()) {
            mTable.domains().stream()
                    .filter(domain -> !domain.equals(ownDomain()))
                    .forEach(
                            d ->
                                    mOutsideUpdates
                                            .computeIfAbsent(d, k -> new UpdateQueue())
                                            .add(ownUpdates));
        }
    }

    private List<Member> rankRelays(Identity domain) {
        List<Member> live = mTable.live(domain);
        List<Member> acceptingWork = live.stream().filter(m -> m.state().acceptsWork()).toList();
        return Rendezvous.rank(
                "relay " + domain.key(),
                acceptingWork.isEmpty() ? live : acceptingWork,
                mSettings.relaysPerDomain());
    }

    private void recordMember(Member member) {
        mLeaving.setHostLeaving(
                member.host(), member.state() == MemberState.LEAVING, mScheduler.instant());
        mLog.record(
                DecisionKind.MEMBERSHIP,
                member.host().key(),
                member.state() + ", incarnation " + member.incarnation());
    }

    private void recordNotice(LeavingNotice notice) {
        mLog.record(
                DecisionKind.MEMBERSHIP,
                notice.target().key(),
                notice.leaving() ? "leaving" : "back, boot " + notice.bootId());
    }
}
