package org.amaranthpick.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.config.ConfigurationMessage.RootReply;
import org.amaranthpick.core.config.ConfigurationMessage.RootRequest;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Scheduler;

/**
 * Finds the newest generation when a daemon starts: asks the store and several peers, and fetches
 * the highest generation offered. Settled once all of them have answered or the timeout has passed,
 * at least one has answered, and the highest generation offered is in force. Guarded by the lock of
 * the service.
 */
final class ConfigurationBootstrap {
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);
    private static final int PEERS_TO_ASK = 5;

    private final Object mLock;
    private final ConfigurationStore mStore;
    private final DomainWatchers mWatchers;
    private final PeerNetwork mNetwork;
    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final ContentFetcher mFetcher;
    private final Set<Identity> mAskedPeers = new HashSet<>();
    private final Set<Identity> mAnsweredPeers = new HashSet<>();
    private long mHighestOffered;
    private long mStartedNs;
    private boolean mStoreAnswered;
    private boolean mStoreReadPending;
    private boolean mSettled;

    ConfigurationBootstrap(
            Object lock,
            ConfigurationStore store,
            DomainWatchers watchers,
            PeerNetwork network,
            Scheduler scheduler,
            RandomGenerator random,
            ContentFetcher fetcher) {
        mLock = lock;
        mStore = store;
        mWatchers = watchers;
        mNetwork = network;
        mScheduler = scheduler;
        mRandom = random;
        mFetcher = fetcher;
    }

    void start() {
        mStartedNs = mScheduler.monotonicNs();
    }

    /** Asks the store and further peers until the bootstrap is settled. */
    void onTimer(long generation) {
        if (isSettled(generation)) {
            return;
        }
        if (!mStoreAnswered && !mStoreReadPending) {
            askStore();
        }
        askPeers();
    }

    void onRootReply(Identity from, RootReply reply) {
        if (!mAskedPeers.contains(from)) {
            return;
        }
        mAnsweredPeers.add(from);
        long generation = reply.root().map(ConfigurationRoot::generation).orElse(0L);
        recordOffer(generation);
        mFetcher.fetchFromPeer(generation, from);
    }

    boolean isSettled(long generation) {
        if (mSettled) {
            return true;
        }
        boolean timedOut = mScheduler.monotonicNs() - mStartedNs >= ANSWER_TIMEOUT.toNanos();
        boolean peersDone =
                timedOut || (!mAskedPeers.isEmpty() && mAnsweredPeers.containsAll(mAskedPeers));
        boolean storeDone = timedOut || mStoreAnswered;
        boolean anyAnswer = mStoreAnswered || !mAnsweredPeers.isEmpty();
        mSettled = peersDone && storeDone && anyAnswer && generation >= mHighestOffered;
        return mSettled;
    }

    private void recordOffer(long generation) {
        mHighestOffered = Math.max(mHighestOffered, generation);
    }

    private void askStore() {
        mStoreReadPending = true;
        mStore.readRoot()
                .thenAccept(
                        result -> {
                            synchronized (mLock) {
                                onStoreRoot(result);
                            }
                        });
    }

    private void onStoreRoot(RootResult result) {
        mStoreReadPending = false;
        if (result instanceof RootResult.Read read) {
            mStoreAnswered = true;
            read.root().ifPresent(root -> recordOffer(root.generation()));
            read.root().ifPresent(mFetcher::fetchFromStore);
        }
    }

    private void askPeers() {
        List<Member> others = new ArrayList<>(mWatchers.allMembers());
        others.removeIf(member -> member.host().equals(mWatchers.self().host()));
        others.removeIf(member -> mAnsweredPeers.contains(member.host()));
        for (int i = mAnsweredPeers.size(); i < PEERS_TO_ASK && !others.isEmpty(); i++) {
            Member peer = others.remove(mRandom.nextInt(others.size()));
            mAskedPeers.add(peer.host());
            mNetwork.send(peer.host(), new RootRequest());
        }
    }
}
