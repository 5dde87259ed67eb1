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
import org.amaranthpick.core.config.ConfigMessage.InForce;
import org.amaranthpick.core.config.ConfigMessage.InForceQuery;
import org.amaranthpick.core.config.ConfigMessage.InForceReply;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Scheduler;

/**
 * Knows which generation is in force where: each daemon tells the watchers of its domain, and a
 * question goes to the watchers of every domain. Guarded by the lock of the service.
 */
final class InForceTracker {
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);

    private final Object mLock;
    private final DomainRoles mRoles;
    private final PeerNetwork mNetwork;
    private final Scheduler mScheduler;
    private final Map<Identity, Long> mGenerations = new HashMap<>();
    private final Map<Long, Query> mQueries = new HashMap<>();
    private Set<Identity> mToldTo = Set.of();
    private long mQuerySequence;

    /** Question that waits for the answers of the domains. */
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

    InForceTracker(Object lock, DomainRoles roles, PeerNetwork network, Scheduler scheduler) {
        mLock = lock;
        mRoles = roles;
        mNetwork = network;
        mScheduler = scheduler;
    }

    /** Notes the generation in force at a daemon. */
    void note(Identity host, long generation) {
        mGenerations.merge(host, generation, Math::max);
    }

    /** Tells the watchers of this domain what is in force here, if they or it changed. */
    void tell(long generation, boolean changed) {
        Set<Identity> watchers = new HashSet<>();
        mRoles.watchers(mRoles.self().domain()).forEach(m -> watchers.add(m.host()));
        watchers.remove(mRoles.self().host());
        for (Identity watcher : watchers) {
            if (changed || !mToldTo.contains(watcher)) {
                mNetwork.send(watcher, new InForce(generation));
            }
        }
        mToldTo = watchers;
        note(mRoles.self().host(), generation);
    }

    /** Forgets daemons that are gone. */
    void forgetGone() {
        Set<Identity> live = new HashSet<>();
        mRoles.everyone().forEach(member -> live.add(member.host()));
        mGenerations.keySet().retainAll(live);
    }

    CompletionStage<InForceStatus> ask(long generation) {
        long number = ++mQuerySequence;
        Query query = new Query(generation, mRoles.domains());
        mQueries.put(number, query);
        onReply(answer(number, generation));
        for (Identity domain : query.mDomains) {
            if (!domain.equals(mRoles.self().domain())) {
                askDomain(domain, new InForceQuery(number, generation));
            }
        }
        for (Member watcher : mRoles.watchers(mRoles.self().domain())) {
            if (!watcher.host().equals(mRoles.self().host())) {
                mNetwork.send(watcher.host(), new InForceQuery(number, generation));
            }
        }
        mScheduler.schedule(QUERY_TIMEOUT, () -> end(number));
        return query.mResult;
    }

    InForceReply answer(long number, long generation) {
        List<Identity> laggards = new ArrayList<>();
        List<Member> live = mRoles.ownDomain();
        for (Member member : live) {
            if (mGenerations.getOrDefault(member.host(), 0L) < generation) {
                laggards.add(member.host());
            }
        }
        int named = Math.min(laggards.size(), InForceReply.MAX_LAGGARDS);
        return new InForceReply(
                number, mRoles.self().domain(), live.size(), laggards.subList(0, named));
    }

    /** Takes an answer; of two answers of one domain, the one with fewer laggards counts. */
    void onReply(InForceReply reply) {
        Query query = mQueries.get(reply.query());
        if (query == null) {
            return;
        }
        InForceReply held = query.mReplies.get(reply.domain());
        if (held == null || reply.laggards().size() < held.laggards().size()) {
            query.mReplies.put(reply.domain(), reply);
        }
        boolean whole = query.mReplies.keySet().containsAll(query.mDomains);
        boolean done = query.mReplies.values().stream().allMatch(r -> r.laggards().isEmpty());
        if (whole && done) {
            complete(reply.query());
        }
    }

    private void askDomain(Identity domain, InForceQuery query) {
        mRoles.watchers(domain).forEach(watcher -> mNetwork.send(watcher.host(), query));
    }

    private void end(long number) {
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
