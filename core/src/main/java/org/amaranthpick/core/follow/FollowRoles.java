package org.amaranthpick.core.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.register.DutyRanking;
import org.amaranthpick.core.register.PeerDaemon;
import org.amaranthpick.core.time.Scheduler;

/**
 * Chooses whom this daemon follows. A change ends the long poll of every daemon at the store, so
 * that calls grow with the product of changes and daemons; in a failure domain with many daemons
 * the first two by rank watch the store, and each other one follows one of these. One that gave no
 * answer is left out for a while, so that the next in rank takes its place, also if it is gone for
 * good. Confined to one thread.
 */
public final class FollowRoles {
    private static final int MIN_DAEMONS = 6;
    private static final int SOURCES = 2;
    private static final Duration LEFT_OUT = Duration.ofSeconds(10);
    private static final String DUTY = "following/";

    private final Optional<String> mSelf;
    private final String mDomain;
    private final Supplier<List<PeerDaemon>> mDaemons;
    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final Map<String, Long> mLeftOutUntilNs = new HashMap<>();

    /**
     * Creates the roles.
     *
     * @param self address at which this daemon serves others, if it does
     * @param domain failure domain of this daemon
     * @param daemons the other daemons of the fleet
     * @param scheduler clock
     * @param random source of jitter
     */
    public FollowRoles(
            Optional<String> self,
            String domain,
            Supplier<List<PeerDaemon>> daemons,
            Scheduler scheduler,
            RandomGenerator random) {
        mSelf = self;
        mDomain = domain;
        mDaemons = daemons;
        mScheduler = scheduler;
        mRandom = random;
    }

    /**
     * Returns whether daemons of this failure domain follow others.
     *
     * @return whether there are enough of them
     */
    public boolean isRelaying() {
        return mSelf.isPresent() && candidates().size() >= MIN_DAEMONS;
    }

    /**
     * Returns the daemon to follow.
     *
     * @return its address; empty if this daemon should watch the store
     */
    public Optional<String> source() {
        List<String> candidates = candidates();
        if (mSelf.isEmpty() || candidates.size() < MIN_DAEMONS) {
            return Optional.empty();
        }
        List<String> ranked = DutyRanking.rank(DUTY + mDomain, candidates);
        int own = ranked.indexOf(mSelf.get());
        List<String> sources =
                new ArrayList<>(
                        ranked.subList(0, own).stream()
                                .filter(address -> !isLeftOut(address))
                                .limit(SOURCES)
                                .toList());
        if (own < SOURCES || sources.isEmpty()) {
            return Optional.empty();
        }
        Collections.rotate(sources, own);
        return Optional.of(sources.get(0));
    }

    /**
     * Leaves a daemon out for a while.
     *
     * @param address address of a daemon that gave no usable answer
     */
    public void leaveOut(String address) {
        long forNs = LEFT_OUT.toNanos() + mRandom.nextLong(LEFT_OUT.toNanos());
        mLeftOutUntilNs.put(address, mScheduler.monotonicNs() + forNs);
    }

    private boolean isLeftOut(String address) {
        Long untilNs = mLeftOutUntilNs.get(address);
        return untilNs != null && untilNs - mScheduler.monotonicNs() > 0;
    }

    private List<String> candidates() {
        List<String> found = new ArrayList<>();
        for (PeerDaemon daemon : mDaemons.get()) {
            if (daemon.domain().equals(mDomain)) {
                found.add(daemon.address());
            }
        }
        mSelf.ifPresent(found::add);
        return found;
    }
}
