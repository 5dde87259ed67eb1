package org.amaranthpick.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.config.ConfigurationMessage.InForceQuery;
import org.amaranthpick.core.config.ConfigurationMessage.InForceReply;
import org.amaranthpick.core.config.ConfigurationMessage.InForceReport;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Scheduler;

/**
 * Tracks which generation is in force on which daemon. Each daemon reports to the watchers of its
 * domain, and a query goes to the watchers of every domain. Guarded by the lock of the service.
 */
final class InForceTracker {
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);

    private final Object mLock;
    private final DomainWatchers mWatchers;
    private final PeerNetwork mNetwork;
    private final Scheduler mScheduler;
    private final Map<Identity, Long> mGenerationByHost = new HashMap<>();
    private final Map<Long, Query> mQueries = new HashMap<>();
    private Set<Identity> mReportedTo = Set.of();
    private long mLastQueryNumber;

    /** Query that waits for the replies of the domains. */
    private static final class Query {
        private final long mGeneration;
        private final Map<Identity, InForceReply> mReplies = new TreeMap<>();
        private final Set<Identity> mDomains;
        private final CompletableFuture<InForceStatus> mResult = new CompletableFuture<>();

        Query(long generation, Set<Identity> domains) {
            mGeneration = generation;
            mDomains = domains;
        }
    }

    InForceTracker(Object lock, DomainWatchers watchers, PeerNetwork network, Scheduler scheduler) {
        mLock = lock;
        mWatchers = watchers;
        mNetwork = network;
        mScheduler = scheduler;
    }

    /** Records the generation in force on a daemon. */
    void recordGeneration(Identity host, long generation) {
        mGenerationByHost.merge(host, generation, Math::max);
    }

    /** Reports the generation in force to new watchers of this domain; to all if it changed. */
    void reportToWatchers(long generation, boolean changed) {
        Set<Identity> watchers = new HashSet<>();
        mWatchers.watchers(mWatchers.self().domain()).forEach(m -> watchers.add(m.host()));
        watchers.remove(mWatchers.self().host());
        for (Identity watcher : watchers) {
            if (changed || !mReportedTo.contains(watcher)) {
                mNetwork.send(watcher, new InForceReport(generation));
            }
        }
        mReportedTo = watchers;
        recordGeneration(mWatchers.self().host(), generation);
    }

    /** Removes the generations of daemons that are no longer members. */
    void removeDepartedMembers() {
        Set<Identity> live = new HashSet<>();
        mWatchers.allMembers().forEach(member -> live.add(member.host()));
        mGenerationByHost.keySet().retainAll(live);
    }

    CompletionStage<InForceStatus> queryAllDomains(long generation) {
        long number = ++mLastQueryNumber;
        Query query = new Query(generation, mWatchers.domains());
        mQueries.put(number, query);
        onReply(ownDomainReply(number, generation));
        for (Identity domain : query.mDomains) {
            if (!domain.equals(mWatchers.self().domain())) {
                queryDomain(domain, new InForceQuery(number, generation));
            }
        }
        for (Member watcher : mWatchers.watchers(mWatchers.self().domain())) {
            if (!watcher.host().equals(mWatchers.self().host())) {
                mNetwork.send(watcher.host(), new InForceQuery(number, generation));
            }
        }
        mScheduler.schedule(QUERY_TIMEOUT, () -> onTimeout(number));
        return query.mResult;
    }

    InForceReply ownDomainReply(long number, long generation) {
        List<Identity> laggards = new ArrayList<>();
        List<Member> live = mWatchers.ownDomainMembers();
        for (Member member : live) {
            if (mGenerationByHost.getOrDefault(member.host(), 0L) < generation) {
                laggards.add(member.host());
            }
        }
        int listed = Math.min(laggards.size(), InForceReply.MAX_LAGGARDS);
        return new InForceReply(
                number, mWatchers.self().domain(), live.size(), laggards.subList(0, listed));
    }

    /** Records a reply; of several replies of one domain, the one with fewest laggards counts. */
    void onReply(InForceReply reply) {
        Query query = mQueries.get(reply.query());
        if (query == null) {
            return;
        }
        InForceReply previous = query.mReplies.get(reply.domain());
        if (previous == null || reply.laggards().size() < previous.laggards().size()) {
            query.mReplies.put(reply.domain(), reply);
        }
        boolean allReplied = query.mReplies.keySet().containsAll(query.mDomains);
        boolean noLaggards = query.mReplies.values().stream().allMatch(r -> r.laggards().isEmpty());
        if (allReplied && noLaggards) {
            complete(reply.query());
        }
    }

    private void queryDomain(Identity domain, InForceQuery query) {
        mWatchers.watchers(domain).forEach(watcher -> mNetwork.send(watcher.host(), query));
    }

    private void onTimeout(long number) {
        synchronized (mLock) {
            complete(number);
        }
    }

    private void complete(long number) {
        Query query = mQueries.remove(number);
        if (query == null) {
            return;
        }
        int live = 0;
        List<Identity> laggards = new ArrayList<>();
        for (InForceReply reply : query.mReplies.values()) {
            live += reply.live();
            laggards.addAll(reply.laggards());
        }
        List<Identity> unanswered = new ArrayList<>(query.mDomains);
        unanswered.removeAll(query.mReplies.keySet());
        query.mResult.complete(new InForceStatus(query.mGeneration, live, laggards, unanswered));
    }
}
