package org.amaranthpick.core.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.member.MemberMessage.Ack;
import org.amaranthpick.core.member.MemberMessage.News;
import org.amaranthpick.core.member.MemberMessage.Ping;
import org.amaranthpick.core.member.MemberMessage.ProbeReply;
import org.amaranthpick.core.member.MemberMessage.ProbeRequest;
import org.amaranthpick.core.member.MemberMessage.UrgentNews;
import org.amaranthpick.core.name.Identity;

/**
 * Probes one daemon of this domain per period, so that the cost per daemon does not depend on how
 * many there are. Guarded by the lock of the membership.
 */
final class Prober {
    private static final int INDIRECT_PROBES = 3;
    private static final int MAX_LEAVING_FAILURES = 3;

    private final MembershipState mState;
    private final Broadcaster mBroadcaster;
    private final RandomGenerator mRandom;
    private final List<Identity> mOrder = new ArrayList<>();
    private final Map<Long, ProbeRequest> mForeign = new HashMap<>();
    private final Map<Long, Identity> mForeignFrom = new HashMap<>();
    private final Map<Identity, Integer> mLeavingFailures = new HashMap<>();
    private Optional<Identity> mTarget = Optional.empty();
    private long mSequence;
    private long mTargetSequence;
    private long mHoldUntilNs;

    Prober(MembershipState state, Broadcaster broadcaster, RandomGenerator random) {
        mState = state;
        mBroadcaster = broadcaster;
        mRandom = random;
    }

    /** Ends the running probe and starts the next. */
    void step(boolean paused) {
        long nowNs = mState.scheduler().monotonicNs();
        if (paused) {
            mTarget = Optional.empty();
            mHoldUntilNs = nowNs + mState.settings().suspicionTimeout().toNanos();
        }
        mTarget.ifPresent(this::fail);
        mForeign.clear();
        mForeignFrom.clear();
        if (nowNs >= mHoldUntilNs) {
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
        ProbeRequest request = mForeign.remove(ack.sequence());
        Identity asker = mForeignFrom.remove(ack.sequence());
        if (request != null) {
            mState.network().send(asker, new ProbeReply(request.sequence(), request.target()));
        }
    }

    void onProbeRequest(Identity from, ProbeRequest request) {
        long sequence = ++mSequence;
        mForeign.put(sequence, request);
        mForeignFrom.put(sequence, from);
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
            mState.rebut(target);
        }
    }

    /** Asks others to probe the target if it has not answered. */
    void probeIndirectly() {
        if (mTarget.isEmpty()) {
            return;
        }
        Identity target = mTarget.get();
        List<Member> others = mState.neighbours();
        others.removeIf(member -> member.host().equals(target));
        Shuffle.shuffle(others, mRandom);
        others.stream()
                .limit(INDIRECT_PROBES)
                .forEach(m -> mState.send(m, new ProbeRequest(mTargetSequence, target)));
    }

    private Optional<Identity> nextTarget() {
        if (mOrder.isEmpty()) {
            mState.neighbours().forEach(member -> mOrder.add(member.host()));
            Shuffle.shuffle(mOrder, mRandom);
        }
        while (!mOrder.isEmpty()) {
            Identity host = mOrder.remove(mOrder.size() - 1);
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

    private void fail(Identity target) {
        Optional<Member> held = mState.table().find(target);
        if (held.isEmpty()) {
            return;
        }
        MemberState state = held.get().state();
        if (state == MemberState.ALIVE) {
            tell(held.get(), MemberState.SUSPECT);
            tellRelays(held.get().with(MemberState.SUSPECT, held.get().incarnation()));
            mState.rebut(target);
        }
        if (state == MemberState.LEAVING
                && mLeavingFailures.merge(target, 1, Integer::sum) >= MAX_LEAVING_FAILURES) {
            mLeavingFailures.remove(target);
            tell(held.get(), MemberState.DEAD);
        }
    }

    /** Starts the suspicion timeout of those who tell the other domains of a death. */
    private void tellRelays(Member suspect) {
        News news = new News(List.of(suspect), List.of(), List.of());
        for (Member relay : mState.relays(mState.ownDomain())) {
            if (!relay.host().equals(mState.self().host())) {
                mState.send(relay, new UrgentNews(news));
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
        dead.forEach(member -> tell(member, MemberState.DEAD));
        if (!dead.isEmpty() && mState.isRelay()) {
            List<Member> told =
                    dead.stream().map(m -> m.with(MemberState.DEAD, m.incarnation())).toList();
            mBroadcaster.tellAll(new News(told, List.of(), List.of()));
        }
    }

    private boolean isSuspect(Identity host) {
        return mState.table()
                .find(host)
                .filter(member -> member.state() == MemberState.SUSPECT)
                .isPresent();
    }

    private void tell(Member member, MemberState state) {
        Member changed = member.with(state, member.incarnation());
        mState.apply(new News(List.of(changed), List.of(), List.of()));
    }
}
