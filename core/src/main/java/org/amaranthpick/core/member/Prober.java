package org.amaranthpick.core.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.member.MemberMessage.Ack;
import org.amaranthpick.core.member.MemberMessage.Ping;
import org.amaranthpick.core.member.MemberMessage.ProbeReply;
import org.amaranthpick.core.member.MemberMessage.ProbeRequest;
import org.amaranthpick.core.member.MemberMessage.Updates;
import org.amaranthpick.core.member.MemberMessage.UrgentUpdates;
import org.amaranthpick.core.name.Identity;

/**
 * Failure detector within this domain. Probes one daemon per period, so that the cost per daemon
 * does not depend on the number of daemons. Guarded by the lock of the membership.
 */
final class Prober {
    private static final int INDIRECT_PROBES = 3;
    private static final int MAX_LEAVING_FAILURES = 3;

    private final MembershipState mState;
    private final Broadcaster mBroadcaster;
    private final RandomGenerator mRandom;
    private final List<Identity> mRemainingTargets = new ArrayList<>();
    private final Map<Long, ProbeRequest> mRelayedProbes = new HashMap<>();
    private final Map<Long, Identity> mProbeRequesters = new HashMap<>();
    private final Map<Identity, Integer> mLeavingFailures = new HashMap<>();
    private Optional<Identity> mTarget = Optional.empty();
    private long mSequence;
    private long mTargetSequence;
    private long mNoExpiryBeforeNs;

    Prober(MembershipState state, Broadcaster broadcaster, RandomGenerator random) {
        mState = state;
        mBroadcaster = broadcaster;
        mRandom = random;
    }

    /**
     * Handles the current probe as failed if it is unanswered, and starts the next one. After a
     * pause of this daemon the current probe is ignored, and suspicions do not expire for a full
     * timeout.
     */
    void step(boolean paused) {
        long nowNs = mState.scheduler().monotonicNs();
        if (paused) {
            mTarget = Optional.empty();
            mNoExpiryBeforeNs = nowNs + mState.settings().suspicionTimeout().toNanos();
        }
        mTarget.ifPresent(this::onProbeFailed);
        mRelayedProbes.clear();
        mProbeRequesters.clear();
        if (nowNs >= mNoExpiryBeforeNs) {
            expireSuspicions(nowNs);
        }
        mTarget = nextTarget();
        mTarget.ifPresent(this::probe);
    }

    void onPing(Identity from, Ping ping) {
        mState.network().send(from, new Ack(ping.sequence(), mState.heartbeat()));
    }

    void onAck(Identity from, Ack ack) {
        mLeavingFailures.remove(from);
        endProbe(from, ack.sequence());
        ProbeRequest request = mRelayedProbes.remove(ack.sequence());
        Identity requester = mProbeRequesters.remove(ack.sequence());
        if (request != null) {
            mState.network().send(requester, new ProbeReply(request.sequence(), request.target()));
        }
    }

    void onProbeRequest(Identity from, ProbeRequest request) {
        long sequence = ++mSequence;
        mRelayedProbes.put(sequence, request);
        mProbeRequesters.put(sequence, from);
        mState.network().send(request.target(), new Ping(sequence, mState.heartbeat()));
    }

    void onProbeReply(ProbeReply reply) {
        endProbe(reply.target(), reply.sequence());
    }

    private void endProbe(Identity target, long sequence) {
        if (sequence == mTargetSequence && mTarget.equals(Optional.of(target))) {
            mTarget = Optional.empty();
        }
    }

    private void probe(Identity target) {
        long sequence = ++mSequence;
        mTargetSequence = sequence;
        mState.network().send(target, new Ping(sequence, mState.heartbeat()));
        if (isSuspect(target)) {
            mState.requestRefutation(target);
        }
    }

    /** Asks other daemons to probe the current target if it has not replied. */
    void probeIndirectly() {
        if (mTarget.isEmpty()) {
            return;
        }
        Identity target = mTarget.get();
        List<Member> others = mState.domainPeers();
        others.removeIf(member -> member.host().equals(target));
        Shuffle.shuffle(others, mRandom);
        others.stream()
                .limit(INDIRECT_PROBES)
                .forEach(m -> mState.send(m, new ProbeRequest(mTargetSequence, target)));
    }

    private Optional<Identity> nextTarget() {
        if (mRemainingTargets.isEmpty()) {
            mState.domainPeers().forEach(member -> mRemainingTargets.add(member.host()));
            Shuffle.shuffle(mRemainingTargets, mRandom);
        }
        while (!mRemainingTargets.isEmpty()) {
            Identity host = mRemainingTargets.remove(mRemainingTargets.size() - 1);
            boolean live =
                    mState.table()
                            .find(host)
                            .filter(member -> member.state() != MemberState.DEAD)
                            .isPresent();
            if (live) {
                return Optional.of(host);
            }
        }
        return Optional.empty();
    }

    private void onProbeFailed(Identity target) {
        Optional<Member> current = mState.table().find(target);
        if (current.isEmpty()) {
            return;
        }
        MemberState state = current.get().state();
        if (state == MemberState.ALIVE) {
            applyState(current.get(), MemberState.SUSPECT);
            notifyRelays(current.get().with(MemberState.SUSPECT, current.get().incarnation()));
            mState.requestRefutation(target);
        }
        if (state == MemberState.LEAVING
                && mLeavingFailures.merge(target, 1, Integer::sum) >= MAX_LEAVING_FAILURES) {
            mLeavingFailures.remove(target);
            applyState(current.get(), MemberState.DEAD);
        }
    }

    /** Starts the suspicion timeout at the relays, which announce deaths to the other domains. */
    private void notifyRelays(Member suspect) {
        Updates updates = new Updates(List.of(suspect), List.of(), List.of());
        for (Member relay : mState.relays(mState.ownDomain())) {
            if (!relay.host().equals(mState.self().host())) {
                mState.send(relay, new UrgentUpdates(updates));
            }
        }
    }

    private void expireSuspicions(long nowNs) {
        long limitNs = mState.settings().suspicionTimeout().toNanos();
        List<Member> dead = new ArrayList<>();
        for (MemberTable.Row row : mState.table().rows(mState.ownDomain())) {
            boolean suspect = row.member().state() == MemberState.SUSPECT;
            if (suspect && nowNs - row.changedNs() >= limitNs) {
                dead.add(row.member());
            }
        }
        dead.forEach(member -> applyState(member, MemberState.DEAD));
        if (!dead.isEmpty() && mState.isRelay()) {
            List<Member> announced =
                    dead.stream().map(m -> m.with(MemberState.DEAD, m.incarnation())).toList();
            mBroadcaster.broadcast(new Updates(announced, List.of(), List.of()));
        }
    }

    private boolean isSuspect(Identity host) {
        return mState.table()
                .find(host)
                .filter(member -> member.state() == MemberState.SUSPECT)
                .isPresent();
    }

    private void applyState(Member member, MemberState state) {
        Member changed = member.with(state, member.incarnation());
        mState.apply(new Updates(List.of(changed), List.of(), List.of()));
    }
}
