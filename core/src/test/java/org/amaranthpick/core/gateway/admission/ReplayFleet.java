package org.amaranthpick.core.gateway.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.gateway.GatewayRoute;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.gateway.RequestKind;
import org.amaranthpick.core.gateway.RetryAfterPolicy;
import org.amaranthpick.core.gateway.ServiceShare;
import org.amaranthpick.core.time.VirtualScheduler;

/**
 * Daemons, chains and callers on virtual time. Engines run what fits into their memory and queue
 * the rest; daemons see their fill of up to 200 ms ago; callers leave without a first event in 2 s
 * and come back once after a refusal.
 */
final class ReplayFleet {
    static final double USUAL_TOKENS = 1000;
    static final Duration TARGET = Duration.ofMillis(500);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final Duration STEP = Duration.ofMillis(5);
    private static final long REPORT_NS = 200_000_000L;
    private static final double HOLD_MS = 3000;
    private static final long PREFILL_MS = 150;
    private static final GatewayService SERVICE =
            new GatewayService(
                    "llm",
                    100,
                    Optional.of(
                            new EngineModel(
                                    8,
                                    1,
                                    1,
                                    10,
                                    1,
                                    0,
                                    0,
                                    1,
                                    700,
                                    300,
                                    1,
                                    OptionalInt.empty(),
                                    1,
                                    1,
                                    1,
                                    Map.of())));

    /** How requests are admitted and how engines order their queues. */
    enum Policy {
        ARRIVAL,
        PRIORITY,
        ADMISSION
    }

    /** A request of a caller over all of its attempts. */
    static final class Call {
        final int mPriority;
        final String mWorkspace;
        final double mTokens;
        final long mFirstNs;
        final int mDaemon;
        int mAttempts;
        int mRefusals;
        boolean mRefusedWithRoom;
        Optional<Duration> mFirstEvent = Optional.empty();
        private long mAttemptNs;
        private long mEndNs;
        private Optional<AdmissionTicket> mTicket = Optional.empty();

        Call(int priority, String workspace, double tokens, long firstNs, int daemon) {
            mPriority = priority;
            mWorkspace = workspace;
            mTokens = tokens;
            mFirstNs = firstNs;
            mDaemon = daemon;
        }

        /** Returns the value to the caller: half of it if late, halved for each lower priority. */
        double value() {
            double onTime =
                    mFirstEvent.map(time -> time.compareTo(TARGET) <= 0 ? 1 : 0.5).orElse(0.0);
            return onTime * Math.pow(0.5, mPriority);
        }
    }

    private static final class Chain {
        final List<Call> mRunning = new ArrayList<>();
        final List<Call> mQueue = new ArrayList<>();
        boolean mLost;

        double tokens(List<Call> calls) {
            return calls.stream().mapToDouble(call -> call.mTokens).sum();
        }
    }

    final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    final List<Call> mCalls = new ArrayList<>();
    private final Policy mPolicy;
    private final double mChainTokens;
    private final List<Chain> mChains = new ArrayList<>();
    private final List<LoadAdmission> mAdmissions = new ArrayList<>();
    private final List<double[]> mOwnTokens = new ArrayList<>();
    private final double[] mObserved;
    private final SplittableRandom mRandom = new SplittableRandom(11);
    private final RetryAfterPolicy mRetryAfter = new RetryAfterPolicy(mRandom);
    private long mReportedNs;

    ReplayFleet(Policy policy, int daemons, int chains, double chainTokens) {
        mPolicy = policy;
        mChainTokens = chainTokens;
        mObserved = new double[chains];
        for (int i = 0; i < chains; i++) {
            mChains.add(new Chain());
        }
        for (int i = 0; i < daemons; i++) {
            int daemon = i;
            mOwnTokens.add(new double[chains]);
            mAdmissions.add(
                    new LoadAdmission((service, nowNs) -> room(daemon), () -> daemons, mScheduler));
        }
    }

    private double fill(int daemon, int chain) {
        return (mObserved[chain] + mOwnTokens.get(daemon)[chain]) / mChainTokens;
    }

    /** Draws a chain about in proportion to its free room. */
    private Optional<Integer> drawChain(int daemon) {
        Optional<Integer> drawn = Optional.empty();
        double sum = 0;
        for (int i = 0; i < mObserved.length; i++) {
            if (!mChains.get(i).mLost) {
                double weight = Math.max(0.01, 1 - fill(daemon, i));
                sum += weight;
                drawn = mRandom.nextDouble() * sum < weight ? Optional.of(i) : drawn;
            }
        }
        return drawn;
    }

    private Optional<ModelRoom> room(int daemon) {
        double best = Double.MAX_VALUE;
        double free = 0;
        int chains = 0;
        for (int i = 0; i < mObserved.length; i++) {
            if (!mChains.get(i).mLost) {
                best = Math.min(best, fill(daemon, i));
                free += mChainTokens * Math.max(0, 1 - fill(daemon, i));
                chains++;
            }
        }
        return chains == 0
                ? Optional.empty()
                : Optional.of(
                        new ModelRoom(
                                best, mChainTokens, chains * mChainTokens, free, Optional.empty()));
    }

    /** Starts a new request at a random daemon. */
    void arrive(int priority, String workspace, double tokens) {
        int daemon = mRandom.nextInt(mAdmissions.size());
        Call call = new Call(priority, workspace, tokens, mScheduler.monotonicNs(), daemon);
        mCalls.add(call);
        attempt(call);
    }

    private void attempt(Call call) {
        call.mAttempts++;
        long nowNs = mScheduler.monotonicNs();
        call.mAttemptNs = nowNs;
        if (mPolicy != Policy.ADMISSION) {
            send(call);
            return;
        }
        Duration timeLimit = TIMEOUT.minusNanos(nowNs - call.mFirstNs);
        AdmissionTicket ticket =
                mAdmissions.get(call.mDaemon).ticket(candidate(call, nowNs, timeLimit));
        call.mTicket = Optional.of(ticket);
        ticket.request(
                decision -> {
                    if (decision.outcome() == LoadDecision.Outcome.SENT) {
                        send(call);
                    } else {
                        call.mRefusedWithRoom |= usedFraction() < 0.5;
                        onRefused(call, decision.retryAfter(), timeLimit);
                    }
                });
    }

    /** Returns the part of the memory that is taken or waited for. */
    private double usedFraction() {
        return mChains.stream()
                .filter(chain -> !chain.mLost)
                .mapToDouble(
                        chain ->
                                (chain.tokens(chain.mRunning) + chain.tokens(chain.mQueue))
                                        / mChainTokens)
                .average()
                .orElse(1);
    }

    private static AdmissionCandidate candidate(Call call, long nowNs, Duration timeLimit) {
        GatewayRoute route =
                new GatewayRoute(
                        "route" + call.mPriority,
                        "h",
                        "/",
                        RequestKind.STREAM,
                        true,
                        TIMEOUT,
                        TARGET,
                        Optional.of(Duration.ofMillis(250)),
                        call.mPriority,
                        List.of(new ServiceShare("llm", 1)),
                        2,
                        false);
        RequestWork work = new RequestWork(0.7 * call.mTokens, 0.3 * call.mTokens, USUAL_TOKENS);
        return new AdmissionCandidate(
                SERVICE,
                route,
                call.mPriority,
                Optional.of(call.mWorkspace),
                work,
                800,
                nowNs,
                timeLimit);
    }

    private void onRefused(Call call, Duration predicted, Duration timeLimit) {
        call.mTicket = Optional.empty();
        call.mRefusals++;
        if (call.mRefusals == 1) {
            Duration wait = mRetryAfter.retryAfter(Optional.of(predicted), timeLimit);
            var unused = mScheduler.schedule(wait, () -> attempt(call));
        }
    }

    private void send(Call call) {
        Optional<Integer> chain = drawChain(call.mDaemon);
        if (chain.isEmpty()) {
            close(call, false);
            Duration timeLimit = TIMEOUT.minusNanos(mScheduler.monotonicNs() - call.mFirstNs);
            onRefused(call, Duration.ofSeconds(1), timeLimit);
            return;
        }
        mOwnTokens.get(call.mDaemon)[chain.get()] += call.mTokens;
        mChains.get(chain.get()).mQueue.add(call);
    }

    private static void close(Call call, boolean answered) {
        Optional<AdmissionTicket> ticket = call.mTicket;
        call.mTicket = Optional.empty();
        ticket.ifPresent(open -> open.close(answered));
    }

    /** Loses chains with what they run, or brings them back. */
    void setLost(int chains, boolean lost) {
        for (Chain chain : mChains.subList(0, chains)) {
            chain.mLost = lost;
            List<Call> broken = new ArrayList<>(chain.mRunning);
            broken.addAll(chain.mQueue);
            chain.mRunning.clear();
            chain.mQueue.clear();
            for (Call call : broken) {
                close(call, false);
                call.mFirstEvent = Optional.empty();
                send(call);
            }
        }
    }

    /** Advances the time by one step. */
    void step() {
        mScheduler.advance(STEP);
        long nowNs = mScheduler.monotonicNs();
        for (Call call : mCalls) {
            boolean waits = call.mTicket.isPresent() && call.mTicket.get().isUndecided();
            if (waits && nowNs - call.mAttemptNs > PATIENCE.toNanos()) {
                close(call, false);
            }
        }
        for (int i = 0; i < mChains.size(); i++) {
            serve(mChains.get(i), nowNs);
        }
        if (nowNs - mReportedNs >= REPORT_NS) {
            mReportedNs = nowNs;
            for (int i = 0; i < mChains.size(); i++) {
                Chain chain = mChains.get(i);
                mObserved[i] = chain.tokens(chain.mRunning) + chain.tokens(chain.mQueue);
                int index = i;
                mOwnTokens.forEach(own -> own[index] = 0);
            }
            mAdmissions.forEach(LoadAdmission::onRoom);
        }
    }

    private void serve(Chain chain, long nowNs) {
        for (Call call : List.copyOf(chain.mRunning)) {
            if (call.mEndNs <= nowNs) {
                chain.mRunning.remove(call);
                close(call, true);
            }
        }
        chain.mQueue.removeIf(
                call -> {
                    boolean left = nowNs - call.mAttemptNs > PATIENCE.toNanos();
                    if (left) {
                        close(call, false);
                    }
                    return left;
                });
        if (mPolicy != Policy.ARRIVAL) {
            chain.mQueue.sort(Comparator.comparingInt(call -> call.mPriority));
        }
        while (!chain.mQueue.isEmpty()
                && chain.tokens(chain.mRunning) + chain.mQueue.get(0).mTokens <= mChainTokens) {
            Call call = chain.mQueue.remove(0);
            chain.mRunning.add(call);
            long startNs = nowNs + Duration.ofMillis(PREFILL_MS).toNanos();
            call.mFirstEvent = Optional.of(Duration.ofNanos(startNs - call.mFirstNs));
            call.mEndNs = nowNs + (long) (HOLD_MS * call.mTokens / USUAL_TOKENS * 1e6);
            call.mTicket.ifPresent(AdmissionTicket::onFirstEvent);
        }
    }
}
