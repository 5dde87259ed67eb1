package org.amaranthpick.core.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.amaranthpick.core.register.DutyRanking;
import org.amaranthpick.core.register.PeerDaemon;
import org.amaranthpick.core.store.FollowTimings;
import org.amaranthpick.core.store.SimulatedStore;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A failure domain in which two daemons watch the store and the others follow these. */
class FollowingStoreTest {
    private static final int DAEMONS = 6;
    private static final long STEP_MS = 130;
    private static final long WARM_MS = 8000;
    private static final List<Long> CHANGES_MS = List.of(8900L, 9100L, 9700L, 10_600L);

    /** What happens to a daemon that others follow, or to connections. */
    private enum Fault {
        KILLED,
        FROZEN,
        CUT_FROM_STORE,
        BOTH_CUT_FROM_STORE,
        /** Cut off, while they don't know yet that others follow them. */
        UNAWARE_CUT_FROM_STORE,
        ALL_SILENT
    }

    @ParameterizedTest
    @CsvSource({
        "KILLED,2000,3000",
        "FROZEN,2000,3000",
        "CUT_FROM_STORE,2000,3000",
        "BOTH_CUT_FROM_STORE,2000,3000",
        "UNAWARE_CUT_FROM_STORE,2000,3000",
        "ALL_SILENT,2000,3000",
        "KILLED,4000,5000",
        "FROZEN,4000,5000",
        "CUT_FROM_STORE,3000,4000",
        "BOTH_CUT_FROM_STORE,4000,5000",
        "ALL_SILENT,4000,5000"
    })
    void followersApplyAChangeInTime(Fault fault, long maxChangeDelayMs, long stableWindowMs) {
        for (long faultMs = WARM_MS; faultMs <= WARM_MS + 6000; faultMs += STEP_MS) {
            for (long ackMs = faultMs; ackMs <= faultMs + stableWindowMs; ackMs += STEP_MS) {
                Domain domain = new Domain(maxChangeDelayMs, stableWindowMs);
                domain.strike(fault, faultMs, ackMs);
                long boundMs = ackMs + maxChangeDelayMs;
                if (fault == Fault.ALL_SILENT) {
                    boundMs = Math.max(boundMs, faultMs + stableWindowMs);
                }
                domain.advanceTo(boundMs);
                for (int i = 2; i < DAEMONS; i++) {
                    SimulatedStore follower = domain.mStores.get(i);
                    assertTrue(
                            follower.mInForce >= follower.revisionAt(ackMs),
                            "%d: fault at %d, acknowledged at %d".formatted(i, faultMs, ackMs));
                }
            }
        }
    }

    @Test
    void onlyTheFollowedDaemonsCallTheStore() {
        Domain domain = new Domain(2000, 3000);
        domain.advanceTo(WARM_MS);
        int before = domain.calls(2, DAEMONS);
        domain.advanceTo(WARM_MS + 60_000);
        assertEquals(0, domain.calls(2, DAEMONS) - before);
        for (SimulatedStore store : domain.mStores) {
            assertEquals(CHANGES_MS.size(), store.mInForce);
        }
    }

    /** Daemons of a domain with a link that can lose one of them. */
    private static final class Domain {
        final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
        final List<SimulatedStore> mStores = new ArrayList<>();
        final List<String> mAddresses;
        final Map<String, ChangeSource> mSources = new HashMap<>();
        final Map<String, Long> mOpenedMs = new HashMap<>();
        Optional<String> mLost = Optional.empty();
        long mLostMs = Long.MAX_VALUE;
        long mSilentMs = Long.MAX_VALUE;
        boolean mReset;

        Domain(long maxChangeDelayMs, long stableWindowMs) {
            FollowTimings timings =
                    new FollowTimings(
                            Duration.ofMillis(maxChangeDelayMs), Duration.ofMillis(stableWindowMs));
            List<String> all = new ArrayList<>();
            for (int i = 0; i < DAEMONS; i++) {
                all.add("10.0.0." + i + ":1");
            }
            mAddresses = DutyRanking.rank("following/d", all);
            for (int i = 0; i < DAEMONS; i++) {
                start(mAddresses.get(i), i, timings);
            }
        }

        private void start(String address, int seed, FollowTimings timings) {
            SimulatedStore store = new SimulatedStore(mScheduler, timings, DAEMONS, CHANGES_MS);
            store.mPacing.setRelaying(true);
            SplittableRandom random = new SplittableRandom(seed);
            ChangeSource changes = new ChangeSource(mScheduler);
            FollowRoles roles =
                    new FollowRoles(
                            Optional.of(address), "d", () -> others(address), mScheduler, random);
            FollowContext context =
                    new FollowContext(
                            store,
                            (to, request, timeout, then) ->
                                    ask(address, to, request, timeout, then),
                            roles,
                            changes,
                            timings.relaying(),
                            mScheduler,
                            random,
                            () -> {});
            mStores.add(store);
            mSources.put(address, changes);
            store.follow(new FollowingStore(context), seed);
        }

        private List<PeerDaemon> others(String address) {
            return mAddresses.stream()
                    .filter(other -> !other.equals(address))
                    .map(other -> new PeerDaemon(other, "d"))
                    .toList();
        }

        void strike(Fault fault, long faultMs, long ackMs) {
            mStores.forEach(store -> store.mAckMs = ackMs);
            if (fault == Fault.ALL_SILENT) {
                mSilentMs = faultMs;
                mStores.forEach(store -> store.mSilentMs = faultMs);
            } else {
                mStores.get(0).mCutMs = faultMs;
            }
            if (fault == Fault.BOTH_CUT_FROM_STORE || fault == Fault.UNAWARE_CUT_FROM_STORE) {
                mStores.get(1).mCutMs = faultMs;
            }
            if (fault == Fault.UNAWARE_CUT_FROM_STORE) {
                mStores.get(0).mPacing.setRelaying(false);
                mStores.get(1).mPacing.setRelaying(false);
            }
            if (fault == Fault.KILLED || fault == Fault.FROZEN) {
                mLost = Optional.of(mAddresses.get(0));
                mLostMs = faultMs;
                mReset = fault == Fault.KILLED;
            }
        }

        void advanceTo(long timeMs) {
            mStores.get(0).advanceTo(timeMs);
        }

        int calls(int from, int to) {
            return mStores.subList(from, to).stream().mapToInt(store -> store.mCalls).sum();
        }

        /** /** Asks over the connection of a pair of daemons. */
        private void ask(
                String from,
                String address,
                FollowRequest request,
                Duration timeout,
                Consumer<Optional<FollowAnswer>> then) {
            long openedMs = mOpenedMs.computeIfAbsent(from + address, a -> nowMs());
            boolean[] done = {false};
            mScheduler.schedule(
                    timeout,
                    () -> {
                        if (!done[0]) {
                            done[0] = true;
                            mOpenedMs.remove(from + address);
                            then.accept(Optional.empty());
                        }
                    });
            Consumer<Optional<FollowAnswer>> deliver =
                    answer -> {
                        boolean silent = openedMs <= mSilentMs && nowMs() > mSilentMs;
                        if (!done[0] && !silent && !isLost(address)) {
                            done[0] = true;
                            then.accept(answer);
                        }
                    };
            after(
                    5,
                    () ->
                            mSources.get(address)
                                    .ask(
                                            request,
                                            answer ->
                                                    after(
                                                            5,
                                                            () ->
                                                                    deliver.accept(
                                                                            Optional.of(answer)))));
            if (mReset && mLost.equals(Optional.of(address))) {
                long resetMs = Math.max(5, mLostMs - nowMs());
                after(
                        resetMs,
                        () -> {
                            if (!done[0]) {
                                done[0] = true;
                                then.accept(Optional.empty());
                            }
                        });
            }
        }

        private boolean isLost(String address) {
            return mLost.equals(Optional.of(address)) && nowMs() > mLostMs;
        }

        private void after(long delayMs, Runnable task) {
            mScheduler.schedule(Duration.ofMillis(delayMs), task);
        }

        private long nowMs() {
            return mScheduler.monotonicNs() / 1_000_000;
        }
    }
}
