package org.amaranthpick.core.route;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.PrefixIndex;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.observe.UpstreamObservation.Reachability;

/**
 * Samples a few chains according to the flow plan, first from the local domain, and chooses the one
 * with the lowest predicted cost. {@link ChainSearch} is used instead if the request has a previous
 * chain to repair, or if sampling finds no chain.
 */
final class FlowChainChooser implements ChainChooser {
    private static final int LOCAL_CANDIDATES = 3;
    private static final int REMOTE_CANDIDATES = 2;
    private static final int MAX_SAMPLES = 6;
    private static final int MAX_CONFIGURATIONS = 4;
    private static final int REPAIR_ENGINES_PER_CLASS = 3;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final Routing.Context mContext;
    private final EngineDirectory mDirectory;
    private final FlowPlanController mPlanController;
    private final FirstTokenPredictor mPredictor;
    private final ChainFeedbackRecorder mFeedback;
    private final LeavingUpstreamMonitor mLeavingMonitor;
    private final AtomicLong mChoiceCount = new AtomicLong();
    private final Cache<Configuration, LinkCosts> mLinks =
            Caffeine.newBuilder()
                    .weakKeys()
                    .maximumSize(MAX_CONFIGURATIONS)
                    .executor(Runnable::run)
                    .build();

    /** Candidate with its prediction. */
    private record EstimatedCandidate(List<ChainStep> steps, ChainEstimate estimate) {}

    FlowChainChooser(
            Routing.Context context,
            EngineDirectory directory,
            FlowPlanController planController,
            FirstTokenPredictor predictor,
            ChainFeedbackRecorder feedback,
            LeavingUpstreamMonitor leavingMonitor) {
        mContext = context;
        mDirectory = directory;
        mPlanController = planController;
        mPredictor = predictor;
        mFeedback = feedback;
        mLeavingMonitor = leavingMonitor;
    }

    ChainFeedbackRecorder feedback() {
        return mFeedback;
    }

    @Override
    public ChainDecision choose(ChainRequest request) {
        LinkCosts links = mLinks.get(request.configuration(), LinkCosts::new);
        if (request.previousChain().isEmpty()) {
            List<EstimatedCandidate> candidates = sampleCandidates(request, links);
            if (!candidates.isEmpty()) {
                return chooseCheapest(request, candidates);
            }
        }
        return search(request, links);
    }

    private List<EstimatedCandidate> sampleCandidates(ChainRequest request, LinkCosts links) {
        FlowPlan plan = mPlanController.plan(request.model().id(), request.adapter()).orElse(null);
        if (plan == null) {
            return List.of();
        }
        SplittableRandom random =
                new SplittableRandom(mContext.seed() + mChoiceCount.incrementAndGet());
        int depth = prefixes().depth(request.prefixHashes());
        List<EstimatedCandidate> candidates = new ArrayList<>();
        Identity localDomain = mContext.domain();
        LiveMemberChooser memberChooser = new LiveMemberChooser(mDirectory, request, random);
        if (!request.prefixHashes().isEmpty()) {
            LiveMemberChooser prefixChooser = memberChooser.preferringPrefix(prefixes(), depth);
            addCandidate(
                    request,
                    links,
                    plan.sampleFrom(localDomain, random, prefixChooser),
                    depth,
                    candidates);
        }
        for (int i = 0; i < MAX_SAMPLES && candidates.size() < LOCAL_CANDIDATES; i++) {
            addCandidate(
                    request,
                    links,
                    plan.sampleFrom(localDomain, random, memberChooser),
                    depth,
                    candidates);
        }
        Set<Identity> usedDomains = new HashSet<>();
        usedDomains.add(localDomain);
        int maxCandidates = candidates.size() + REMOTE_CANDIDATES;
        for (int i = 0; i < MAX_SAMPLES && candidates.size() < maxCandidates; i++) {
            Optional<List<ChainStep>> steps =
                    plan.sampleOutside(usedDomains, random, memberChooser);
            steps.ifPresent(chainSteps -> usedDomains.add(chainSteps.get(0).engine().domain()));
            addCandidate(request, links, steps, depth, candidates);
        }
        candidates.sort(
                Comparator.comparingLong(
                        candidate -> candidate.estimate().scoreNs(request.expectedTokens())));
        return candidates;
    }

    private void addCandidate(
            ChainRequest request,
            LinkCosts links,
            Optional<List<ChainStep>> steps,
            int depth,
            List<EstimatedCandidate> candidates) {
        if (steps.isPresent()) {
            ChainEstimate estimate = mPredictor.estimate(request, links, steps.get(), depth);
            candidates.add(new EstimatedCandidate(steps.get(), estimate));
        }
    }

    private ChainDecision chooseCheapest(
            ChainRequest request, List<EstimatedCandidate> candidates) {
        List<ChainDecision.Candidate> considered = new ArrayList<>(candidates.size());
        for (EstimatedCandidate candidate : candidates) {
            considered.add(
                    new ChainDecision.Candidate(
                            chain(request, candidate.steps()),
                            Duration.ofNanos(candidate.estimate().firstTokenNs())));
        }
        return recordChosen(request, candidates.get(0).steps(), considered);
    }

    private ChainDecision search(ChainRequest request, LinkCosts links) {
        Identity model = request.model().id();
        List<Engine> engines =
                mDirectory.engines(request.configuration(), model, request.adapter()).stream()
                        .filter(engine -> !request.excludedUpstreams().contains(engine.id()))
                        .toList();
        RepairCostModel costModel =
                new RepairCostModel(
                        request, links, mPredictor, hop -> survivingEngine(request, hop));
        ChainSearch search = new ChainSearch(request.model().layers(), costModel);
        Optional<List<Hop>> hops = search.cheapest(subsample(request, engines));
        if (hops.isEmpty()) {
            hops = search.cheapest(engines);
        }
        if (hops.isEmpty()) {
            return noChain(request, engines);
        }
        Chain chain = new Chain(model, hops.get());
        List<ChainStep> steps = mFeedback.liveSteps(request, chain).orElse(List.of());
        long predictedNs = costModel.firstTokenNs(steps, chain);
        ChainDecision.Candidate candidate =
                new ChainDecision.Candidate(chain, Duration.ofNanos(predictedNs));
        return recordChosen(request, steps, List.of(candidate));
    }

    /**
     * Keeps the engines of the previous chain and a few random engines per domain and layer range,
     * so that requests that are repaired at the same time are spread over several engines.
     */
    private List<Engine> subsample(ChainRequest request, List<Engine> engines) {
        SplittableRandom random =
                new SplittableRandom(mContext.seed() ^ mChoiceCount.incrementAndGet());
        Map<List<Object>, List<Engine>> classes = new LinkedHashMap<>();
        List<Engine> kept = new ArrayList<>();
        for (Engine engine : engines) {
            if (request.previousChain().isPresent()
                    && request.previousChain().get().uses(engine.id())) {
                kept.add(engine);
            } else {
                classes.computeIfAbsent(
                                List.of(engine.domain(), engine.layers()), key -> new ArrayList<>())
                        .add(engine);
            }
        }
        for (List<Engine> members : classes.values()) {
            for (int i = 0; i < REPAIR_ENGINES_PER_CLASS && !members.isEmpty(); i++) {
                kept.add(members.remove(random.nextInt(members.size())));
            }
        }
        return kept;
    }

    private Optional<Engine> survivingEngine(ChainRequest request, Hop hop) {
        Optional<UpstreamObservation> observation =
                mContext.board().upstreams().get(hop.upstream());
        boolean lost =
                observation.isPresent() && observation.get().reachability() == Reachability.LOST;
        if (lost) {
            return Optional.empty();
        }
        return request.configuration()
                .upstream(hop.upstream())
                .filter(spec -> spec.accelerator().isPresent())
                .map(spec -> new Engine(spec, spec.accelerator().get(), hop.layers(), observation));
    }

    private ChainDecision recordChosen(
            ChainRequest request, List<ChainStep> steps, List<ChainDecision.Candidate> considered) {
        Chain chain = considered.get(0).chain();
        Duration predicted = considered.get(0).predictedFirstToken();
        chain.hops().forEach(hop -> mLeavingMonitor.check(hop.upstream()));
        mFeedback.recordPrediction(chain, steps, predicted.toNanos(), request.prefixHashes());
        return new ChainDecision.Chosen(chain, predicted, considered);
    }

    private ChainDecision noChain(ChainRequest request, List<Engine> engines) {
        String reason = NoChainReason.describe(request.model(), engines);
        return new ChainDecision.NoChain(reason, Optional.of(RETRY_AFTER));
    }

    private PrefixIndex prefixes() {
        return mFeedback.prefixes();
    }

    private static Chain chain(ChainRequest request, List<ChainStep> steps) {
        List<Hop> hops = new ArrayList<>(steps.size());
        for (ChainStep step : steps) {
            LayerRange layers = step.layers();
            hops.add(new Hop(step.engine().id(), layers, new KvSource.Compute()));
        }
        return new Chain(request.model().id(), hops);
    }
}
