package org.amaranthpick.core.route;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.PrefixIndex;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.observe.UpstreamObservation.Reachability;
import org.amaranthpick.core.time.Scheduler;

/**
 * Predicts the time to the first token of a chain: queue at reported load and own work since,
 * prompt tokens not cached, links, decoding, and the risk of an old report.
 */
final class FirstTokenPredictor {
    private static final double NS_PER_S = 1e9;
    private static final double STALENESS_RISK = 0.02;
    private static final long MAX_AGE_NS = Duration.ofSeconds(10).toNanos();
    private static final long SUSPECT_RISK_NS = Duration.ofMillis(300).toNanos();
    private static final double BATCH_WAIT = 1.5;
    private static final double DOUBT_DISCOUNT = 0.5;

    private final Identity mEntry;
    private final OwnLoad mOwnLoad;
    private final DelayEstimator mDelays;
    private final PrefixIndex mPrefixes;
    private final Scheduler mScheduler;

    FirstTokenPredictor(
            Identity entry,
            OwnLoad ownLoad,
            DelayEstimator delays,
            PrefixIndex prefixes,
            Scheduler scheduler) {
        mEntry = entry;
        mOwnLoad = ownLoad;
        mDelays = delays;
        mPrefixes = prefixes;
        mScheduler = scheduler;
    }

    /**
     * Predicts a chain.
     *
     * @param request what the chain is wanted for
     * @param links links of the configuration
     * @param steps parts of the chain
     * @param depth leading prompt blocks that any engine holds
     * @return estimate
     */
    ChainEstimate estimate(ChainRequest request, LinkCosts links, List<Step> steps, int depth) {
        Instant now = mScheduler.instant();
        int tokens = request.promptTokens() + request.doneTokens();
        int cached = request.promptTokens();
        long firstNs = 0;
        long betweenNs = 0;
        for (int i = steps.size() - 1; i >= 0; i--) {
            Step step = steps.get(i);
            cached = Math.min(cached, cachedTokens(request, step.engine().id(), depth));
            int uncached = Math.max(1, tokens - cached);
            OwnLoad.Pending own = own(step.engine());
            firstNs += waitNs(step.engine(), own, request.expectedTokens());
            firstNs += prefillNs(step, uncached) + riskNs(step.engine(), now);
            firstNs += mDelays.delayNs(step.engine().id(), step.engine().id());
            long decodeNs = decodeNs(step, own);
            firstNs += decodeNs;
            betweenNs += (long) (decodeNs * BATCH_WAIT);
            long perToken = request.model().activationBytes();
            if (i > 0) {
                Step before = steps.get(i - 1);
                firstNs += linkNs(links, before.engine(), step.engine(), perToken * uncached);
                betweenNs += linkNs(links, before.engine(), step.engine(), perToken);
            }
        }
        Engine first = steps.get(0).engine();
        firstNs += entryNs(links, first.domain());
        Engine last = steps.get(steps.size() - 1).engine();
        if (steps.size() > 1) {
            betweenNs += links.between(last.domain(), first.domain()).latency().toNanos();
        }
        return new ChainEstimate(firstNs, betweenNs, cached);
    }

    /** Predicts the wait before an engine starts on a new prompt. */
    long waitNs(Engine engine, OwnLoad.Pending own, int expectedTokens) {
        AcceleratorSpec accelerator = engine.accelerator();
        long queued = own.promptTokens();
        int streams = own.streams();
        if (engine.seen().isPresent()) {
            queued += engine.seen().get().status().queuedTokens();
            streams += engine.seen().get().status().runningStreams();
        }
        double queueNs =
                queued
                        * (double) engine.layers().size()
                        / accelerator.prefillLayerTokensPerSecond()
                        * NS_PER_S;
        int over = streams - accelerator.maxStreams() + 1;
        if (over <= 0) {
            return (long) queueNs;
        }
        double streamNs =
                expectedTokens
                        * (double) engine.layers().size()
                        * accelerator.maxStreams()
                        / accelerator.decodeLayerTokensPerSecond()
                        * NS_PER_S;
        return (long) (queueNs + over * streamNs / accelerator.maxStreams());
    }

    OwnLoad.Pending own(Engine engine) {
        return mOwnLoad.pending(engine.id(), engine.seen().map(UpstreamObservation::sampledAt));
    }

    long prefillNs(Step step, int tokens) {
        double work = (double) tokens * step.layers().size();
        double rate = step.engine().accelerator().prefillLayerTokensPerSecond();
        return (long) (work / rate * NS_PER_S);
    }

    long linkNs(LinkCosts links, Engine from, Engine to, long bytes) {
        LinkCosts.Link link =
                links.betweenUpstreams(from.id(), to.id())
                        .orElseGet(() -> links.between(from.domain(), to.domain()));
        long sendNs = (long) (bytes / (double) link.bytesPerSecond() * NS_PER_S);
        long learntNs =
                from.domain().equals(to.domain()) ? 0 : mDelays.delayNs(from.domain(), to.domain());
        return link.latency().toNanos() + sendNs + learntNs;
    }

    long entryNs(LinkCosts links, Identity domain) {
        long learntNs = domain.equals(mEntry) ? 0 : mDelays.delayNs(mEntry, domain);
        return 2 * links.between(mEntry, domain).latency().toNanos() + learntNs;
    }

    long riskNs(Engine engine, Instant now) {
        Optional<UpstreamObservation> seen = engine.seen();
        if (seen.isEmpty()) {
            return SUSPECT_RISK_NS;
        }
        long ageNs = Math.max(0, Duration.between(seen.get().sampledAt(), now).toNanos());
        long riskNs = (long) (STALENESS_RISK * Math.min(MAX_AGE_NS, ageNs));
        boolean suspect = seen.get().reachability() == Reachability.SUSPECT;
        return suspect ? riskNs + SUSPECT_RISK_NS : riskNs;
    }

    private static long decodeNs(Step step, OwnLoad.Pending own) {
        AcceleratorSpec accelerator = step.engine().accelerator();
        int reported =
                step.engine().seen().isPresent()
                        ? step.engine().seen().get().status().runningStreams()
                        : 0;
        int streams = Math.min(accelerator.maxStreams(), reported + own.streams() + 1);
        double batchNs =
                streams
                        * (double) step.layers().size()
                        / accelerator.decodeLayerTokensPerSecond()
                        * NS_PER_S;
        long floorNs = accelerator.layerTimeNs() * step.layers().size();
        return Math.max(floorNs, (long) batchNs);
    }

    private int cachedTokens(ChainRequest request, Identity upstream, int depth) {
        if (depth == 0) {
            return 0;
        }
        PrefixIndex.Match match = mPrefixes.match(upstream, request.prefixHashes(), depth);
        int tokens = match.blocks() * PrefixHasher.BLOCK_TOKENS;
        return match.certain() ? tokens : (int) (tokens * DOUBT_DISCOUNT);
    }
}
