package org.amaranthpick.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.config.ConfigMessage.RootReply;
import org.amaranthpick.core.config.ConfigMessage.RootRequest;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Scheduler;

/**
 * Start of a daemon: asks the store and several peers, and takes the highest generation offered.
 * Settled when all have answered or their time is over, and at least one has answered. Guarded by
 * the lock of the service.
 */
final class Startup {
    private static final Duration ANSWER_TIME = Duration.ofSeconds(2);
    private static final int PEERS_ASKED = 5;

    private final Object mLock;
    private final ConfigurationStore mStore;
    private final DomainRoles mRoles;
    private final PeerNetwork mNetwork;
    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final ContentFetcher mFetcher;
    private final Set<Identity> mAsked = new HashSet<>();
    private final Set<Identity> mAnswered = new HashSet<>();
    private long mHighest;
    private long mBegunNs;
    private boolean mStoreAnswered;
    private boolean mStoreAsked;
    private boolean mSettled;

    Startup(
            Object lock,
            ConfigurationStore store,
            DomainRoles roles,
            PeerNetwork network,
            Scheduler scheduler,
            RandomGenerator random,
            ContentFetcher fetcher) {
        mLock = lock;
        mStore = store;
        mRoles = roles;
        mNetwork = network;
        mScheduler = scheduler;
        mRandom = random;
        mFetcher = fetcher;
    }

    void begin() {
        mBegunNs = mScheduler.monotonicNs();
    }

    /** Asks again those who have not answered. */
    void step(long generation) {
        if (isSettled(generation)) {
            return;
        }
        if (!mStoreAnswered && !mStoreAsked) {
            askStore();
        }
        askPeers();
    }

    void onRootReply(Identity from, RootReply reply) {
        if (!mAsked.contains(from)) {
            return;
        }
        mAnswered.add(from);
        long generation = reply.root().map(ConfigurationRoot::generation).orElse(0L);
        offer(generation);
        mFetcher.wantFromPeer(generation, from);
    }

    boolean isSettled(long generation) {
        if (mSettled) {
            return true;
        }
        boolean timeOver = mScheduler.monotonicNs() - mBegunNs >= ANSWER_TIME.toNanos();
        boolean peersDone = timeOver || (!mAsked.isEmpty() && mAnswered.containsAll(mAsked));
        boolean storeDone = timeOver || mStoreAnswered;
        boolean anyAnswer = mStoreAnswered || !mAnswered.isEmpty();
        mSettled = peersDone && storeDone && anyAnswer && generation >= mHighest;
        return mSettled;
    }

    private void offer(long generation) {
        mHighest = Math.max(mHighest, generation);
    }

    private void askStore() {
        mStoreAsked = true;
        mStore.readRoot()
                .thenAccept(
                        result -> {
                            synchronized (mLock) {
                                onStoreRoot(result);
                            }
                        });
    }

    private void onStoreRoot(RootResult result) {
        mStoreAsked = false;
        if (result instanceof RootResult.Read read) {
            mStoreAnswered = true;
            read.root().ifPresent(root -> offer(root.generation()));
            read.root().ifPresent(mFetcher::wantFromStore);
        }
    }

    private void askPeers() {
        List<Member> others = new ArrayList<>(mRoles.everyone());
        others.removeIf(member -> member.host().equals(mRoles.self().host()));
        others.removeIf(member -> mAnswered.contains(member.host()));
        for (int i = mAnswered.size(); i < PEERS_ASKED && !others.isEmpty(); i++) {
            Member peer = others.remove(mRandom.nextInt(others.size()));
            mAsked.add(peer.host());
            mNetwork.send(peer.host(), new RootRequest());
        }
    }
}
