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
 * Chooses one home per shard of workspaces and failure domain. The first by rendezvous asks the
 * daemons of its domain for consent, each of which consents to one home at a time; with a majority
 * it is the home for one term. Nothing is stored: a daemon that starts gives no consent before any
 * that it may have given has run out.
 */
final class ShareHomes {
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
    private final Promise[] mPromises = new Promise[SHARDS];
    private final List<Map<Identity, Long>> mConsents = new ArrayList<>();
    private final List<Set<Identity>> mIdle = new ArrayList<>();
    private final long[] mHomeSinceNs = new long[SHARDS];
    private final Map<Identity, Long> mSeenNs = new HashMap<>();
    private long mSequence;
    private long mAskedNs;
    private long mAskedShards;

    /** Consent given to a home. */
    private record Promise(Identity home, long untilNs) {}

    ShareHomes(
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
            mConsents.add(new HashMap<>());
            mIdle.add(new HashSet<>());
            mHomeSinceNs[shard] = -1;
        }
    }

    static int shard(long workspace) {
        return (int) Math.floorMod(workspace, (long) SHARDS);
    }

    /** Runs one round of candidacy. */
    void step() {
        List<Member> near = near();
        Member self = mMembers.self();
        boolean leaving = self.state() == MemberState.LEAVING;
        long wanted = 0;
        long released = leaving ? ALL_SHARDS : 0;
        List<Member> open = near.stream().filter(m -> m.state().acceptsWork()).toList();
        for (int shard = 0; shard < SHARDS && !leaving; shard++) {
            String key = KEY_PREFIX + self.domain().key() + "/" + shard;
            List<Member> first = Rendezvous.rank(key, open, 1);
            if (!first.isEmpty() && first.get(0).host().equals(self.host())) {
                wanted |= 1L << shard;
            }
        }
        ask(near, self.host(), wanted, released);
    }

    private synchronized void note(List<Member> near) {
        long nowNs = mScheduler.monotonicNs();
        near.forEach(member -> mSeenNs.put(member.host(), nowNs));
        mSeenNs.values().removeIf(seenNs -> nowNs - seenNs > ShareTimes.MEMORY.toNanos());
    }

    private void ask(List<Member> near, Identity self, long wanted, long released) {
        note(near);
        ShareMessage.Candidacy candidacy;
        synchronized (this) {
            dropTerms(~wanted);
            mSequence++;
            mAskedNs = mScheduler.monotonicNs();
            mAskedShards = wanted;
            candidacy = new ShareMessage.Candidacy(mSequence, wanted, released);
        }
        if (wanted == 0 && released == 0) {
            return;
        }
        onConsent(self, consent(self, candidacy));
        for (Member member : near) {
            if (!member.host().equals(self)) {
                mPeers.send(member.host(), candidacy);
            }
        }
    }

    private void dropTerms(long shards) {
        for (int shard = 0; shard < SHARDS; shard++) {
            if ((shards & 1L << shard) != 0) {
                mConsents.get(shard).clear();
                mIdle.get(shard).clear();
                mHomeSinceNs[shard] = -1;
            }
        }
    }

    /** Answers a candidate. */
    void onCandidacy(Identity from, ShareMessage.Candidacy candidacy) {
        mPeers.send(from, consent(from, candidacy));
    }

    private ShareMessage.Consent consent(Identity from, ShareMessage.Candidacy candidacy) {
        long idle = mIdleShards.getAsLong();
        synchronized (this) {
            return consent(from, candidacy, idle);
        }
    }

    private ShareMessage.Consent consent(
            Identity from, ShareMessage.Candidacy candidacy, long idle) {
        long nowNs = mScheduler.monotonicNs();
        long consented = 0;
        boolean bound = nowNs - mStartedNs < ShareTimes.PROMISE.toNanos();
        for (int shard = 0; shard < SHARDS; shard++) {
            long bit = 1L << shard;
            Promise promise = mPromises[shard];
            boolean own = promise != null && promise.home().equals(from);
            if (own && (candidacy.released() & bit) != 0) {
                mPromises[shard] = null;
            }
            boolean free = promise == null || own || nowNs >= promise.untilNs();
            if ((candidacy.shards() & bit) != 0 && free && !bound) {
                long untilNs = nowNs + ShareTimes.PROMISE.toNanos();
                mPromises[shard] = new Promise(from, untilNs);
                consented |= bit;
            }
        }
        return new ShareMessage.Consent(candidacy.sequence(), consented, consented & idle);
    }

    /** Takes a consent; only one of the latest round counts. */
    synchronized void onConsent(Identity from, ShareMessage.Consent consent) {
        if (consent.sequence() != mSequence) {
            return;
        }
        long untilNs = mAskedNs + ShareTimes.TERM.toNanos();
        for (int shard = 0; shard < SHARDS; shard++) {
            if ((consent.shards() & mAskedShards & 1L << shard) != 0) {
                mConsents.get(shard).put(from, untilNs);
                if ((consent.idle() & 1L << shard) != 0) {
                    mIdle.get(shard).add(from);
                } else {
                    mIdle.get(shard).remove(from);
                }
                startTerm(shard);
            }
        }
    }

    private void startTerm(int shard) {
        if (mHomeSinceNs[shard] < 0 && hasMajority(shard)) {
            mHomeSinceNs[shard] = mScheduler.monotonicNs();
            String subject = "limits/" + mMembers.self().domain().key() + "/" + shard;
            mLog.record(DecisionKind.LEASE, subject, "this daemon hands out the limits");
        }
    }

    private boolean hasMajority(int shard) {
        long nowNs = mScheduler.monotonicNs();
        long consents =
                mConsents.get(shard).values().stream().filter(until -> nowNs < until).count();
        return consents > mSeenNs.size() / 2;
    }

    /**
     * Tells whether every daemon of the domain holds no place of a shard, so that nothing that a
     * home before granted can still be in use.
     *
     * @param shard the shard
     * @return true if all consented and said so
     */
    synchronized boolean allIdle(int shard) {
        return mIdle.get(shard).containsAll(mSeenNs.keySet());
    }

    /**
     * Tells since when this daemon has been the home of a shard.
     *
     * @param shard the shard
     * @return monotonic time, empty if it is not the home now
     */
    synchronized Optional<Long> homeSince(int shard) {
        if (mHomeSinceNs[shard] < 0) {
            return Optional.empty();
        }
        if (!hasMajority(shard)) {
            mHomeSinceNs[shard] = -1;
            return Optional.empty();
        }
        return Optional.of(mHomeSinceNs[shard]);
    }

    /**
     * Finds the daemon to ask for shares.
     *
     * @param shard the shard
     * @param domain failure domain that hands them out
     * @return its home as far as is known here
     */
    Optional<Identity> home(int shard, Identity domain) {
        if (domain.equals(mMembers.self().domain())) {
            synchronized (this) {
                Promise promise = mPromises[shard];
                boolean valid = promise != null && mScheduler.monotonicNs() < promise.untilNs();
                return valid ? Optional.of(promise.home()) : Optional.empty();
            }
        }
        List<Member> there =
                mMembers.members().stream()
                        .filter(m -> m.domain().equals(domain) && m.state().acceptsWork())
                        .toList();
        return Rendezvous.rank(KEY_PREFIX + domain.key() + "/" + shard, there, 1).stream()
                .map(Member::host)
                .findFirst();
    }

    private List<Member> near() {
        Identity domain = mMembers.self().domain();
        return mMembers.members().stream().filter(m -> m.domain().equals(domain)).toList();
    }
}
