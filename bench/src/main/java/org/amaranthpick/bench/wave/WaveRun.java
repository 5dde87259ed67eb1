package org.amaranthpick.bench.wave;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.LinkSpec;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.PrefixHasher;
import org.amaranthpick.core.time.VirtualScheduler;

/** One run: the same trace for every policy, on virtual time. */
final class WaveRun {
    private static final int DOMAINS = 3;
    private static final int DAEMONS = 12;
    private static final int ENGINES = 42;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final long NS_PER_MS = 1_000_000;
    private static final int REPORT_LAG_MS = 500;
    private static final int NEAR_PERIOD_MS = 1_000;
    private static final int FAR_PERIOD_MS = 10_000;
    private static final int TOKENS = 360;
    private static final int TOKENS_PER_REPORT = 32;

    private final VirtualScheduler mScheduler =
            new VirtualScheduler(Instant.parse("2026-01-04T18:00:00Z"));
    private final Configuration mConfiguration = WaveFleet.build(DOMAINS, ENGINES);
    private final Map<Identity, FakeEngine> mEngines = new HashMap<>();
    private final Map<WaveRequest, WaveDaemon> mOwners = new HashMap<>();
    private final List<WaveDaemon> mDaemons = new ArrayList<>();
    private final Map<List<Identity>, Long> mLinkFreeNs = new HashMap<>();
    private final Map<List<Identity>, LinkSpec> mLinks = new HashMap<>();
    private final SplittableRandom mRandom = new SplittableRandom(99);
    private final Trace mTrace;
    private final Result mResult = new Result();
    private long mRequests;

    /** What arrives. */
    record Trace(double load, double urgentPerSecond, int seconds, int warmUpSeconds, int paceMs) {}

    /** What was measured after the warm-up. */
    static final class Result {
        final Histogram mUrgentFirstMs = new Histogram(600_000, 3);
        final Histogram mUrgentBetweenMs = new Histogram(600_000, 3);
        final Histogram mBatchFirstMs = new Histogram(600_000, 3);
        final Histogram mBatchBetweenMs = new Histogram(600_000, 3);
        final Map<String, Long> mTokensByWorkspace = new HashMap<>();
        double mBound;
        long mTokens;
        double mSeconds;

        double shareOfBound() {
            return mTokens / mSeconds / mBound;
        }
    }

    WaveRun(WaveDaemon.Policy policy, boolean useWindow, Trace trace) {
        mTrace = trace;
        mConfiguration
                .manifest()
                .upstreams()
                .forEach(
                        spec ->
                                mEngines.put(
                                        spec.id(),
                                        new FakeEngine(spec, mScheduler, this::onHopDone)));
        mConfiguration
                .manifest()
                .links()
                .forEach(
                        link -> {
                            mLinks.put(List.of(link.from(), link.to()), link);
                            mLinks.put(List.of(link.to(), link.from()), link);
                        });
        for (int i = 0; i < DAEMONS; i++) {
            mDaemons.add(
                    new WaveDaemon(
                            i,
                            DOMAINS,
                            mConfiguration,
                            mScheduler,
                            policy,
                            useWindow ? Optional.of(trace.paceMs()) : Optional.empty()));
        }
    }

    Result run() {
        report(0);
        mDaemons.forEach(WaveDaemon::control);
        mResult.mBound =
                mDaemons.get(0)
                        .routing()
                        .plan(WaveFleet.MODEL.id(), Optional.empty())
                        .orElseThrow()
                        .tokensPerSecond();
        double batchPerSecond = mTrace.load() * mResult.mBound / TOKENS;
        int steps = (int) (Duration.ofSeconds(mTrace.seconds()).toNanos() / STEP.toNanos());
        double batchDue = 0;
        double urgentDue = 0;
        for (int step = 0; step < steps; step++) {
            batchDue += batchPerSecond * STEP.toNanos() / 1e9;
            urgentDue += mTrace.urgentPerSecond() * STEP.toNanos() / 1e9;
            for (; batchDue >= 1; batchDue--) {
                int workspace = mRandom.nextInt(14);
                arrive("batch-" + (workspace < 5 ? 0 : workspace - 4), 2, TOKENS, TOKENS);
            }
            for (; urgentDue >= 1; urgentDue--) {
                arrive("borrower", 8, 200, 80);
            }
            int ms = (int) (step * STEP.toMillis());
            report(ms);
            if (ms % 250 == 0) {
                mDaemons.forEach(WaveDaemon::control);
            }
            mScheduler.advance(STEP);
        }
        mResult.mSeconds = mTrace.seconds() - mTrace.warmUpSeconds();
        return mResult;
    }

    private void arrive(String workspace, int priority, int promptMean, int tokensMean) {
        WorkspaceSpec spec = WaveFleet.workspace(workspace);
        int prompt = promptMean / 2 + mRandom.nextInt(promptMean);
        int tokens = Math.max(8, tokensMean / 2 + mRandom.nextInt(tokensMean));
        String shared = ("system prompt of " + workspace + " ").repeat(20);
        List<Long> hashes =
                PrefixHasher.hashes(spec.id(), WaveFleet.MODEL.id(), Optional.empty(), shared);
        int blocks = Math.min(hashes.size(), prompt / 64);
        WaveRequest request =
                new WaveRequest(
                        "r" + mRequests++,
                        spec,
                        priority,
                        prompt,
                        tokens,
                        hashes.subList(0, blocks),
                        mScheduler.monotonicNs());
        WaveDaemon daemon = mDaemons.get(mRandom.nextInt(DAEMONS));
        mOwners.put(request, daemon);
        daemon.submit(request, this::send);
    }

    private void send(WaveRequest request) {
        request.mSentNs = mScheduler.monotonicNs();
        FakeEngine first = mEngines.get(request.hop().upstream());
        WaveDaemon daemon = mOwners.get(request);
        long delayNs = linkNs(daemon.domain(), first.spec().domain(), 2_000);
        var unused = mScheduler.schedule(Duration.ofNanos(delayNs), () -> first.take(request));
    }

    private void onHopDone(FakeEngine engine, WaveRequest request) {
        Chain chain = request.mChain;
        boolean last = request.mHop == chain.hops().size() - 1;
        if (last) {
            onToken(request);
            if (request.mDone >= request.mTokens) {
                chain.hops().forEach(hop -> mEngines.get(hop.upstream()).end());
                return;
            }
        }
        int tokens = request.isPrefill() ? request.mPromptTokens : 1;
        request.mHop = last ? 0 : request.mHop + 1;
        FakeEngine next = mEngines.get(request.hop().upstream());
        long bytes = last ? 8 : WaveFleet.MODEL.activationBytes() * tokens;
        long delayNs = linkNs(engine.spec().domain(), next.spec().domain(), bytes);
        var unused = mScheduler.schedule(Duration.ofNanos(delayNs), () -> next.take(request));
    }

    private void onToken(WaveRequest request) {
        long nowNs = mScheduler.monotonicNs();
        boolean measured = nowNs >= Duration.ofSeconds(mTrace.warmUpSeconds()).toNanos();
        boolean urgent = request.mPriority > 5;
        WaveDaemon daemon = mOwners.get(request);
        if (request.mDone == 0) {
            Duration elapsed = Duration.ofNanos(nowNs - request.mSentNs);
            daemon.feedback().onFirstToken(request.mChain, elapsed);
            if (measured) {
                Histogram first = urgent ? mResult.mUrgentFirstMs : mResult.mBatchFirstMs;
                first.recordValue((nowNs - request.mArrivedNs) / NS_PER_MS);
            }
        } else if (measured) {
            Histogram between = urgent ? mResult.mUrgentBetweenMs : mResult.mBatchBetweenMs;
            between.recordValue((nowNs - request.mLastTokenNs) / NS_PER_MS);
        }
        if (request.mDone % TOKENS_PER_REPORT == 0) {
            if (request.mDone > 0) {
                Duration elapsed = Duration.ofNanos(nowNs - request.mToldNs);
                daemon.feedback().onTokens(request.mChain, TOKENS_PER_REPORT, elapsed);
            }
            request.mToldNs = nowNs;
        }
        request.mLastTokenNs = nowNs;
        request.mDone++;
        if (measured) {
            mResult.mTokens++;
            mResult.mTokensByWorkspace.merge(request.mWorkspace.id().name(), 1L, Long::sum);
        }
        if (request.mDone >= request.mTokens) {
            daemon.feedback().onEnded(request.mChain);
            request.mPermit.setUsedTokens(request.mPromptTokens + request.mTokens);
            request.mPermit.close();
            mOwners.remove(request);
        }
    }

    /** Delay of a transfer; transfers between domains share the link. */
    private long linkNs(Identity from, Identity to, long bytes) {
        var link = mLinks.get(List.of(from, to));
        long sendNs = (long) (bytes * 1e9 / link.bytesPerSecond());
        long nowNs = mScheduler.monotonicNs();
        if (from.equals(to)) {
            return link.latency().toNanos() + sendNs;
        }
        List<Identity> key = List.of(from, to);
        long startNs = Math.max(nowNs, mLinkFreeNs.getOrDefault(key, 0L));
        mLinkFreeNs.put(key, startNs + sendNs);
        return startNs + sendNs - nowNs + link.latency().toNanos();
    }

    /** Lets the daemons see the engines, late, and far ones seldom. */
    private void report(int ms) {
        int index = 0;
        for (FakeEngine engine : mEngines.values()) {
            boolean near = ms % NEAR_PERIOD_MS == index % 100 * 10;
            boolean far = ms % FAR_PERIOD_MS == index * 100 % FAR_PERIOD_MS;
            index++;
            if (ms == 0 || near || far) {
                tell(engine, ms == 0, near, far);
            }
        }
    }

    private void tell(FakeEngine engine, boolean all, boolean near, boolean far) {
        Instant at = mScheduler.instant();
        WaveSnapshot seen = new WaveSnapshot(engine, at);
        for (WaveDaemon daemon : mDaemons) {
            boolean sameDomain = daemon.domain().equals(engine.spec().domain());
            if (all) {
                daemon.observe(engine, at);
            } else if (sameDomain ? near : far) {
                var unused =
                        mScheduler.schedule(
                                Duration.ofMillis(REPORT_LAG_MS), () -> seen.tell(daemon));
            }
        }
    }
}
