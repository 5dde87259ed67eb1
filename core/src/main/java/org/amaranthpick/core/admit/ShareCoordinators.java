package org.amaranthpick.core.admit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberState;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.member.Rendezvous;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Scheduler;

/**
 * Elects one coordinator per failure domain and shard of workspaces. The daemon that ranks first by
 * rendezvous hashing requests the votes of the daemons in its domain; with a majority it is the
 * coordinator for one term. Every daemon votes for one candidate per shard at a time. Votes are not
 * persisted: a daemon that has just started does not vote until any vote from before the restart
 * has expired.
 */
final class ShareCoordinators {
    /** Shards of workspaces per domain. */
    static final int SHARDS = 16;

    private static final String KEY_PREFIX = "share/";
    private static final long ALL_SHARDS = (1L << SHARDS) - 1;

    private final MemberView mMembers;
    private final PeerNetwork mPeers;
    private final Scheduler mScheduler;
    private final DecisionLog mLog;
    private final LongSupplier mIdleShards;
    private final long mStartedNs;
    private final GivenVote[] mGivenVotes = new GivenVote[SHARDS];
    private final List<Map<Identity, Long>> mVotes = new ArrayList<>();
    private final List<Set<Identity>> mIdleVoters = new ArrayList<>();
    private final long[] mCoordinatorSinceNs = new long[SHARDS];
    private final Map<Identity, Long> mLastSeenNs = new HashMap<>();
    private long mSequence;
    private long mRoundStartedNs;
    private long mRequestedShards;

    /** Vote given to a candidate. */
    private record GivenVote(Identity candidate, long untilNs) {}

    ShareCoordinators(
            MemberView members,
            PeerNetwork peers,
            Scheduler scheduler,
            DecisionLog log,
            LongSupplier idleShards) {
        mIdleShards = idleShards;
        mMembers = members;
        mPeers = peers;
        mScheduler = scheduler;
        mLog = log;
        mStartedNs = scheduler.monotonicNs();
        for (int shard = 0; shard < SHARDS; shard++) {
            mVotes.add(new HashMap<>());
            mIdleVoters.add(new HashSet<>());
            mCoordinatorSinceNs[shard] = -1;
        }
    }

    static int shard(long workspace) {
        return (int) Math.floorMod(workspace, (long) SHARDS);
    }

    /** Runs one round of elections. */
    void step() {
        List<Member> domainMembers = domainMembers();
        Member self = mMembers.self();
        boolean leaving = self.state() == MemberState.LEAVING;
        long candidateShards = 0;
        long releasedShards = leaving ? ALL_SHARDS : 0;
        List<Member> eligible =
                domainMembers.stream().filter(m -> m.state().acceptsWork()).toList();
        for (int shard = 0; shard < SHARDS && !leaving; shard++) {
            String key = KEY_PREFIX + self.domain().key() + "/" + shard;
            List<Member> first = Rendezvous.rank(key, eligible, 1);
            if (!first.isEmpty() && first.get(0).host().equals(self.host())) {
                candidateShards |= 1L << shard;
            }
        }
        requestVotes(domainMembers, self.host(), candidateShards, releasedShards);
    }

    private synchronized void recordSeen(List<Member> domainMembers) {
        long nowNs = mScheduler.monotonicNs();
        domainMembers.forEach(member -> mLastSeenNs.put(member.host(), nowNs));
        mLastSeenNs
                .values()
                .removeIf(seenNs -> nowNs - seenNs > ShareTimings.MEMBER_RETENTION.toNanos());
    }

    private void requestVotes(
            List<Member> domainMembers, Identity self, long candidateShards, long releasedShards) {
        recordSeen(domainMembers);
        ShareMessage.Candidacy candidacy;
        synchronized (this) {
            endTerms(~candidateShards);
            mSequence++;
            mRoundStartedNs = mScheduler.monotonicNs();
            mRequestedShards = candidateShards;
            candidacy = new ShareMessage.Candidacy(mSequence, candidateShards, releasedShards);
        }
        if (candidateShards == 0 && releasedShards == 0) {
            return;
        }
        onVote(self, vote(self, candidacy));
        for (Member member : domainMembers) {
            if (!member.host().equals(self)) {
                mPeers.send(member.host(), candidacy);
            }
        }
    }

    private void endTerms(long shards) {
        for (int shard = 0; shard < SHARDS; shard++) {
            if ((shards & 1L << shard) != 0) {
                mVotes.get(shard).clear();
                mIdleVoters.get(shard).clear();
                mCoordinatorSinceNs[shard] = -1;
            }
        }
    }

    /** Answers a candidacy with a vote. */
    void onCandidacy(Identity from, ShareMessage.Candidacy candidacy) {
        mPeers.send(from, vote(from, candidacy));
    }

    private ShareMessage.Vote vote(Identity from, ShareMessage.Candidacy candidacy) {
        long idleShards = mIdleShards.getAsLong();
        synchronized (this) {
            return vote(from, candidacy, idleShards);
        }
    }

    private ShareMessage.Vote vote(
            Identity from, ShareMessage.Candidacy candidacy, long idleShards) {
        long nowNs = mScheduler.monotonicNs();
        long votedShards = 0;
        boolean recentlyStarted = nowNs - mStartedNs < ShareTimings.VOTE_VALIDITY.toNanos();
        for (int shard = 0; shard < SHARDS; shard++) {
            long bit = 1L << shard;
            GivenVote givenVote = mGivenVotes[shard];
            boolean sameCandidate = givenVote != null && givenVote.candidate().equals(from);
            if (sameCandidate && (candidacy.released() & bit) != 0) {
                mGivenVotes[shard] = null;
            }
            boolean available = givenVote == null || sameCandidate || nowNs >= givenVote.untilNs();
            if ((candidacy.shards() & bit) != 0 && available && !recentlyStarted) {
                long untilNs = nowNs + ShareTimings.VOTE_VALIDITY.toNanos();
                mGivenVotes[shard] = new GivenVote(from, untilNs);
                votedShards |= bit;
            }
        }
        return new ShareMessage.Vote(candidacy.sequence(), votedShards, votedShards & idleShards);
    }

    /** Records a vote; votes of earlier rounds are ignored. */
    synchronized void onVote(Identity from, ShareMessage.Vote vote) {
        if (vote.sequence() != mSequence) {
            return;
        }
        long untilNs = mRoundStartedNs + ShareTimings.TERM.toNanos();
        for (int shard = 0; shard < SHARDS; shard++) {
            if ((vote.shards() & mRequestedShards & 1L << shard) != 0) {
                mVotes.get(shard).put(from, untilNs);
                if ((vote.idle() & 1L << shard) != 0) {
                    mIdleVoters.get(shard).add(from);
                } else {
                    mIdleVoters.get(shard).remove(from);
                }
                startTerm(shard);
            }
        }
    }

    private void startTerm(int shard) {
        if (mCoordinatorSinceNs[shard] < 0 && hasMajority(shard)) {
            mCoordinatorSinceNs[shard] = mScheduler.monotonicNs();
            String subject = "limits/" + mMembers.self().domain().key() + "/" + shard;
            mLog.record(
                    DecisionKind.LEASE, subject, "this daemon coordinates the limits of the shard");
        }
    }

    private boolean hasMajority(int shard) {
        long nowNs = mScheduler.monotonicNs();
        long votes = mVotes.get(shard).values().stream().filter(until -> nowNs < until).count();
        return votes > mLastSeenNs.size() / 2;
    }

    /**
     * Returns whether no daemon of the domain holds slots of a shard, so that no grant of a
     * previous coordinator can be in use.
     *
     * @param shard the shard
     * @return true if all daemons voted and reported to hold no slots
     */
    synchronized boolean isIdle(int shard) {
        return mIdleVoters.get(shard).containsAll(mLastSeenNs.keySet());
    }

    /**
     * Returns the time since which this daemon has been the coordinator of a shard.
     *
     * @param shard the shard
     * @return monotonic time in nanoseconds, empty if it is not the coordinator
     */
    synchronized Optional<Long> coordinatorSince(int shard) {
        if (mCoordinatorSinceNs[shard] < 0) {
            return Optional.empty();
        }
        if (!hasMajority(shard)) {
            mCoordinatorSinceNs[shard] = -1;
            return Optional.empty();
        }
        return Optional.of(mCoordinatorSinceNs[shard]);
    }

    /**
     * Returns the coordinator to request shares from.
     *
     * @param shard the shard
     * @param domain failure domain of the coordinator
     * @return presumed coordinator, empty if none is known
     */
    Optional<Identity> coordinator(int shard, Identity domain) {
        if (domain.equals(mMembers.self().domain())) {
            synchronized (this) {
                GivenVote givenVote = mGivenVotes[shard];
                boolean valid = givenVote != null && mScheduler.monotonicNs() < givenVote.untilNs();
                return valid ? Optional.of(givenVote.candidate()) : Optional.empty();
            }
        }
        List<Member> domainMembers =
                mMembers.members().stream()
                        .filter(m -> m.domain().equals(domain) && m.state().acceptsWork())
                        .toList();
        return Rendezvous.rank(KEY_PREFIX + domain.key() + "/" + shard, domainMembers, 1).stream()
                .map(Member::host)
                .findFirst();
    }

    private List<Member> domainMembers() {
        Identity domain = mMembers.self().domain();
        return mMembers.members().stream().filter(m -> m.domain().equals(domain)).toList();
    }
}
