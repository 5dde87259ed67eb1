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
import org.amaranthpick.core.member.MemberMessage.News;
import org.amaranthpick.core.member.MemberMessage.ReachReport;
import org.amaranthpick.core.member.MemberMessage.UrgentNews;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Scheduler;

/** What this daemon believes of all daemons. Guarded by the lock of the membership. */
final class MembershipState {
    private static final Duration REBUT_PERIOD = Duration.ofSeconds(1);
    private static final Duration REPORT_RETENTION = Duration.ofSeconds(30);
    private static final int MAX_RETOLD = 32;

    private final Scheduler mScheduler;
    private final PeerNetwork mNetwork;
    private final DecisionLog mLog;
    private final MembershipSettings mSettings;
    private final MemberTable mTable = new MemberTable();
    private final LeavingTable mLeaving;
    private final NewsQueue mDomainNews = new NewsQueue();
    private final Map<Identity, NewsQueue> mOutsideNews = new HashMap<>();
    private final Map<Identity, ReachReport> mReports = new HashMap<>();
    private final Map<Identity, Long> mReportedNs = new HashMap<>();
    private final Map<Identity, Long> mRebuttedNs = new HashMap<>();
    private final Map<Identity, List<Member>> mRelays = new HashMap<>();
    private long mRelaysVersion = -1;
    private Member mSelf;
    private GenerationExchange mExchange = GenerationExchange.NONE;

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

    void exchangeWith(GenerationExchange exchange) {
        mExchange = exchange;
    }

    GenerationExchange exchange() {
        return mExchange;
    }

    /** Returns the live daemons of this domain except this one. */
    List<Member> neighbours() {
        List<Member> neighbours = mTable.live(ownDomain());
        neighbours.removeIf(member -> member.host().equals(mSelf.host()));
        return neighbours;
    }

    /** Returns the daemons of a domain that speak to other domains, by rank. */
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
        News news = mDomainNews.take(mTable.rows(ownDomain()).size());
        return new Heartbeat(mExchange.generation(), totalDigest(), news);
    }

    /** Returns the heartbeat for another domain. */
    Heartbeat outsideHeartbeat(Identity domain) {
        NewsQueue queue = mOutsideNews.computeIfAbsent(domain, d -> new NewsQueue());
        News news = queue.take(1);
        return new Heartbeat(mExchange.generation(), digest(ownDomain()), news);
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

    /** Takes news and queues what is new for others; returns what is new. */
    News apply(News news) {
        News fresh = merge(news);
        int size = fresh.members().size() + fresh.notices().size();
        if (!fresh.isEmpty() && size <= MAX_RETOLD) {
            mDomainNews.add(fresh);
            queueOutside(fresh);
        }
        return fresh;
    }

    /** Lets a daemon that is believed dead or suspect refute it. */
    void rebut(Identity host) {
        long nowNs = mScheduler.monotonicNs();
        Long lastNs = mRebuttedNs.get(host);
        Optional<Member> held = mTable.find(host);
        boolean due = lastNs == null || nowNs - lastNs >= REBUT_PERIOD.toNanos();
        if (due && held.isPresent() && !host.equals(mSelf.host())) {
            mRebuttedNs.put(host, nowNs);
            send(held.get(), new UrgentNews(new News(List.of(held.get()), List.of(), List.of())));
        }
    }

    /** Changes the state of this daemon, or raises its incarnation. */
    void updateSelf(MemberState state, long incarnation) {
        mSelf = mSelf.with(state, incarnation);
        mTable.merge(mSelf, mScheduler.monotonicNs());
        News news = new News(List.of(mSelf), List.of(), List.of());
        mDomainNews.add(news);
        queueOutside(news);
        record(mSelf);
    }

    /** Returns the domains that no current relay of this domain can reach. */
    Set<Identity> unreachableDomains() {
        List<Member> relays = relays(ownDomain());
        Set<Identity> unreachable = new HashSet<>();
        for (Member relay : relays) {
            unreachable.addAll(reportedBy(relay));
        }
        relays.forEach(relay -> unreachable.retainAll(reportedBy(relay)));
        return unreachable;
    }

    private List<Identity> reportedBy(Member relay) {
        ReachReport report = mReports.get(relay.host());
        return report == null ? List.of() : report.unreachable();
    }

    /** Forgets what is too old. */
    void expire() {
        long nowNs = mScheduler.monotonicNs();
        mTable.forgetDead(nowNs - mSettings.tombstoneRetention().toNanos());
        mLeaving.expire(mScheduler.instant());
        mRebuttedNs.values().removeIf(ns -> nowNs - ns > REPORT_RETENTION.toNanos());
        mReportedNs.values().removeIf(ns -> nowNs - ns > REPORT_RETENTION.toNanos());
        mReports.keySet().retainAll(mReportedNs.keySet());
    }

    void send(Member to, MemberMessage message) {
        mNetwork.send(to.host(), message);
    }

    private News merge(News news) {
        List<Member> members = new ArrayList<>();
        for (Member told : news.members()) {
            members.addAll(mergeMember(told));
        }
        List<LeavingNotice> notices = new ArrayList<>();
        for (LeavingNotice notice : news.notices()) {
            if (mLeaving.merge(notice, mScheduler.instant())) {
                notices.add(notice);
                recordNotice(notice);
            }
        }
        List<ReachReport> reports = new ArrayList<>();
        for (ReachReport report : news.reports()) {
            if (mergeReport(report)) {
                reports.add(report);
            }
        }
        return new News(members, notices, reports);
    }

    private List<Member> mergeMember(Member told) {
        if (told.host().equals(mSelf.host())) {
            refute(told);
            return List.of();
        }
        List<Member> changed = mTable.merge(told, mScheduler.monotonicNs());
        changed.forEach(this::record);
        if (changed.isEmpty() && told.state() != MemberState.DEAD) {
            mTable.find(told.host())
                    .filter(held -> held.state() == MemberState.DEAD)
                    .filter(held -> held.incarnation() == told.incarnation())
                    .ifPresent(held -> rebut(held.host()));
        }
        return changed;
    }

    private void refute(Member told) {
        if (!MemberTable.isAhead(told, mSelf)) {
            return;
        }
        boolean sameIncarnation = told.incarnation() == mSelf.incarnation();
        if (sameIncarnation && told.state() == MemberState.LEAVING) {
            updateSelf(MemberState.LEAVING, mSelf.incarnation());
        } else {
            updateSelf(mSelf.state(), told.incarnation() + 1);
        }
    }

    private boolean mergeReport(ReachReport report) {
        ReachReport held = mReports.get(report.reporter());
        if (held != null && held.sequence() >= report.sequence()) {
            return false;
        }
        mReports.put(report.reporter(), report);
        mReportedNs.put(report.reporter(), mScheduler.monotonicNs());
        return true;
    }

    private void queueOutside(News fresh) {
        if (!isRelay()) {
            return;
        }
        News own =
                new News(
                        fresh.members().stream()
                                .filter(m -> m.domain().equals(ownDomain()))
                                .toList(),
                        fresh.notices().stream()
                                .filter(n -> n.domain().equals(ownDomain()))
                                .toList(),
                        List.of());
        if (!own.isEmpty()) {
            mTable.domains().stream()
                    .filter(domain -> !domain.equals(ownDomain()))
                    .forEach(d -> mOutsideNews.computeIfAbsent(d, k -> new NewsQueue()).add(own));
        }
    }

    private List<Member> rankRelays(Identity domain) {
        List<Member> live = mTable.live(domain);
        List<Member> working = live.stream().filter(m -> m.state().acceptsWork()).toList();
        return Rendezvous.rank(
                "relay " + domain.key(),
                working.isEmpty() ? live : working,
                mSettings.relaysPerDomain());
    }

    private void record(Member member) {
        mLeaving.markHost(
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
