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
 * Predicts the time to the first token of a chain. The prediction sums the queueing time (from
 * reported load and unreported work of this daemon), the prefill of uncached prompt tokens, the
 * links, one decoding step, the learnt delays and a penalty for old reports.
 */
final class FirstTokenPredictor {
    private static final double NS_PER_S = 1e9;
    private static final double STALENESS_PENALTY_RATIO = 0.02;
    private static final long MAX_PENALIZED_AGE_NS = Duration.ofSeconds(10).toNanos();
    private static final long SUSPECT_PENALTY_NS = Duration.ofMillis(300).toNanos();
    private static final double BATCH_WAIT_FACTOR = 1.5;
    private static final double UNCERTAIN_MATCH_FACTOR = 0.5;

    private final Identity mLocalDomain;
    private final InFlightLoad mInFlight;
    private final DelayEstimator mDelays;
    private final PrefixIndex mPrefixes;
    private final Scheduler mScheduler;

    FirstTokenPredictor(
            Identity localDomain,
            InFlightLoad inFlight,
            DelayEstimator delays,
            PrefixIndex prefixes,
            Scheduler scheduler) {
        mLocalDomain = localDomain;
        mInFlight = inFlight;
        mDelays = delays;
        mPrefixes = prefixes;
        mScheduler = scheduler;
    }

    /**
     * Predicts the latencies of a chain.
     *
     * @param request request that needs the chain
     * @param links links of the configuration
     * @param steps engines and layers of the chain
     * @param depth number of leading prompt blocks that at least one engine may have cached
     * @return predicted latencies
     */
    ChainEstimate estimate(
            ChainRequest request, LinkCosts links, List<ChainStep> steps, int depth) {
        Instant now = mScheduler.instant();
        int tokens = request.promptTokens() + request.emittedTokens();
        int cached = request.promptTokens();
        long firstTokenNs = 0;
        long tokenIntervalNs = 0;
        for (int i = steps.size() - 1; i >= 0; i--) {
            ChainStep step = steps.get(i);
            cached = Math.min(cached, cachedTokens(request, step.engine().id(), depth));
            int uncached = Math.max(1, tokens - cached);
            InFlightLoad.Pending pending = inFlight(step.engine());
            firstTokenNs += queueWaitNs(step.engine(), pending, request.expectedTokens());
            firstTokenNs += prefillNs(step, uncached) + stalenessPenaltyNs(step.engine(), now);
            firstTokenNs += mDelays.delayNs(step.engine().id(), step.engine().id());
            long decodeNs = decodeNs(step, pending);
            firstTokenNs += decodeNs;
            tokenIntervalNs += (long) (decodeNs * BATCH_WAIT_FACTOR);
            long bytesPerToken = request.model().activationBytes();
            if (i > 0) {
                ChainStep previous = steps.get(i - 1);
                firstTokenNs +=
                        linkNs(links, previous.engine(), step.engine(), bytesPerToken * uncached);
                tokenIntervalNs += linkNs(links, previous.engine(), step.engine(), bytesPerToken);
            }
        }
        Engine first = steps.get(0).engine();
        firstTokenNs += entryLinkNs(links, first.domain());
        Engine last = steps.get(steps.size() - 1).engine();
        if (steps.size() > 1) {
            tokenIntervalNs +=
                    links.betweenDomains(last.domain(), first.domain()).latency().toNanos();
        }
        return new ChainEstimate(firstTokenNs, tokenIntervalNs, cached);
    }

    /** Predicts the time that a new prompt waits in the queue of an engine, in nanoseconds. */
    long queueWaitNs(Engine engine, InFlightLoad.Pending pending, int expectedTokens) {
        AcceleratorSpec accelerator = engine.accelerator();
        long queued = pending.promptTokens();
        int streams = pending.streams();
        if (engine.observation().isPresent()) {
            queued += engine.observation().get().status().queuedTokens();
            streams += engine.observation().get().status().runningStreams();
        }
        double queueNs =
                queued
                        * (double) engine.layers().size()
                        / accelerator.prefillLayerTokensPerSecond()
                        * NS_PER_S;
        int excessStreams = streams - accelerator.maxStreams() + 1;
        if (excessStreams <= 0) {
            return (long) queueNs;
        }
        double streamNs =
                expectedTokens
                        * (double) engine.layers().size()
                        * accelerator.maxStreams()
                        / accelerator.decodeLayerTokensPerSecond()
                        * NS_PER_S;
        return (long) (queueNs + excessStreams * streamNs / accelerator.maxStreams());
    }

    InFlightLoad.Pending inFlight(Engine engine) {
        return mInFlight.pending(
                engine.id(), engine.observation().map(UpstreamObservation::sampledAt));
    }

    long prefillNs(ChainStep step, int tokens) {
        double work = (double) tokens * step.layers().size();
        double rate = step.engine().accelerator().prefillLayerTokensPerSecond();
        return (long) (work / rate * NS_PER_S);
    }

    long linkNs(LinkCosts links, Engine from, Engine to, long bytes) {
        LinkCosts.Link link =
                links.betweenUpstreams(from.id(), to.id())
                        .orElseGet(() -> links.betweenDomains(from.domain(), to.domain()));
        long sendNs = (long) (bytes / (double) link.bytesPerSecond() * NS_PER_S);
        long learntNs =
                from.domain().equals(to.domain()) ? 0 : mDelays.delayNs(from.domain(), to.domain());
        return link.latency().toNanos() + sendNs + learntNs;
    }

    long entryLinkNs(LinkCosts links, Identity domain) {
        long learntNs = domain.equals(mLocalDomain) ? 0 : mDelays.delayNs(mLocalDomain, domain);
        return 2 * links.betweenDomains(mLocalDomain, domain).latency().toNanos() + learntNs;
    }

    long stalenessPenaltyNs(Engine engine, Instant now) {
        Optional<UpstreamObservation> observation = engine.observation();
        if (observation.isEmpty()) {
            return SUSPECT_PENALTY_NS;
        }
        long ageNs = Math.max(0, Duration.between(observation.get().sampledAt(), now).toNanos());
        long penaltyNs = (long) (STALENESS_PENALTY_RATIO * Math.min(MAX_PENALIZED_AGE_NS, ageNs));
        boolean suspect = observation.get().reachability() == Reachability.SUSPECT;
        return suspect ? penaltyNs + SUSPECT_PENALTY_NS : penaltyNs;
    }

    private static long decodeNs(ChainStep step, InFlightLoad.Pending pending) {
        AcceleratorSpec accelerator = step.engine().accelerator();
        int reported =
                step.engine().observation().isPresent()
                        ? step.engine().observation().get().status().runningStreams()
                        : 0;
        int streams = Math.min(accelerator.maxStreams(), reported + pending.streams() + 1);
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
        return match.certain() ? tokens : (int) (tokens * UNCERTAIN_MATCH_FACTOR);
    }
}
