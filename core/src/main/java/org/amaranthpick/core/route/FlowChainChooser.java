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
 * Samples a few chains by flow share, own domain first, and takes the one with the lowest predicted
 * cost. An attempt that follows another is repaired by search instead.
 */
final class FlowChainChooser implements ChainChooser {
    private static final int LOCAL_CANDIDATES = 3;
    private static final int ANY_CANDIDATES = 2;
    private static final int TRIES = 6;
    private static final int MAX_CONFIGURATIONS = 4;
    private static final int REPAIR_MEMBERS = 3;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final Routing.Context mContext;
    private final EngineDirectory mDirectory;
    private final FlowPlans mPlans;
    private final FirstTokenPredictor mPredictor;
    private final ChainLearning mLearning;
    private final LeavingWatch mLeaving;
    private final AtomicLong mChoices = new AtomicLong();
    private final Cache<Configuration, LinkCosts> mLinks =
            Caffeine.newBuilder()
                    .weakKeys()
                    .maximumSize(MAX_CONFIGURATIONS)
                    .executor(Runnable::run)
                    .build();

    /** Candidate with its prediction. */
    private record Priced(List<Step> steps, ChainEstimate estimate) {}

    FlowChainChooser(
            Routing.Context context,
            EngineDirectory directory,
            FlowPlans plans,
            FirstTokenPredictor predictor,
            ChainLearning learning,
            LeavingWatch leaving) {
        mContext = context;
        mDirectory = directory;
        mPlans = plans;
        mPredictor = predictor;
        mLearning = learning;
        mLeaving = leaving;
    }

    ChainLearning learning() {
        return mLearning;
    }

    @Override
    public ChainDecision choose(ChainRequest request) {
        LinkCosts links = mLinks.get(request.configuration(), LinkCosts::new);
        if (request.previous().isEmpty()) {
            List<Priced> candidates = sample(request, links);
            if (!candidates.isEmpty()) {
                return chosen(request, candidates);
            }
        }
        return search(request, links);
    }

    private List<Priced> sample(ChainRequest request, LinkCosts links) {
        FlowPlan plan = mPlans.plan(request.model().id(), request.adapter()).orElse(null);
        if (plan == null) {
            return List.of();
        }
        SplittableRandom random =
                new SplittableRandom(mContext.seed() + mChoices.incrementAndGet());
        int depth = prefixes().depth(request.prefixHashes());
        List<Priced> candidates = new ArrayList<>();
        Identity local = mContext.domain();
        MemberPicker picker = new MemberPicker(mDirectory, request, random);
        if (!request.prefixHashes().isEmpty()) {
            MemberPicker holders = picker.preferring(prefixes(), depth);
            add(request, links, plan.sampleFrom(local, random, holders), depth, candidates);
        }
        for (int i = 0; i < TRIES && candidates.size() < LOCAL_CANDIDATES; i++) {
            add(request, links, plan.sampleFrom(local, random, picker), depth, candidates);
        }
        Set<Identity> seen = new HashSet<>();
        seen.add(local);
        int wanted = candidates.size() + ANY_CANDIDATES;
        for (int i = 0; i < TRIES && candidates.size() < wanted; i++) {
            Optional<List<Step>> steps = plan.sampleOutside(seen, random, picker);
            steps.ifPresent(found -> seen.add(found.get(0).engine().domain()));
            add(request, links, steps, depth, candidates);
        }
        candidates.sort(
                Comparator.comparingLong(
                        priced -> priced.estimate().scoreNs(request.expectedTokens())));
        return candidates;
    }

    private void add(
            ChainRequest request,
            LinkCosts links,
            Optional<List<Step>> steps,
            int depth,
            List<Priced> candidates) {
        if (steps.isPresent()) {
            ChainEstimate estimate = mPredictor.estimate(request, links, steps.get(), depth);
            candidates.add(new Priced(steps.get(), estimate));
        }
    }

    private ChainDecision chosen(ChainRequest request, List<Priced> candidates) {
        List<ChainDecision.Candidate> considered = new ArrayList<>(candidates.size());
        for (Priced priced : candidates) {
            considered.add(
                    new ChainDecision.Candidate(
                            chain(request, priced.steps()),
                            Duration.ofNanos(priced.estimate().firstTokenNs())));
        }
        return finish(request, candidates.get(0).steps(), considered);
    }

    private ChainDecision search(ChainRequest request, LinkCosts links) {
        Identity model = request.model().id();
        List<Engine> engines =
                mDirectory.engines(request.configuration(), model, request.adapter()).stream()
                        .filter(engine -> !request.excluded().contains(engine.id()))
                        .toList();
        RepairPricer pricer =
                new RepairPricer(request, links, mPredictor, hop -> survivor(request, hop));
        ChainSearch search = new ChainSearch(request.model().layers(), pricer);
        Optional<List<Hop>> hops = search.cheapest(thinned(request, engines));
        if (hops.isEmpty()) {
            hops = search.cheapest(engines);
        }
        if (hops.isEmpty()) {
            return noChain(request, engines);
        }
        Chain chain = new Chain(model, hops.get());
        List<Step> steps = mLearning.steps(request, chain).orElse(List.of());
        long predictedNs = pricer.predictNs(steps, chain);
        ChainDecision.Candidate candidate =
                new ChainDecision.Candidate(chain, Duration.ofNanos(predictedNs));
        return finish(request, steps, List.of(candidate));
    }

    /**
     * Keeps the engines of the previous chain and a few drawn at random of each domain and range,
     * so that many requests repaired at once do not all go to the same engines.
     */
    private List<Engine> thinned(ChainRequest request, List<Engine> engines) {
        SplittableRandom random =
                new SplittableRandom(mContext.seed() ^ mChoices.incrementAndGet());
        Map<List<Object>, List<Engine>> classes = new LinkedHashMap<>();
        List<Engine> kept = new ArrayList<>();
        for (Engine engine : engines) {
            if (request.previous().isPresent() && request.previous().get().uses(engine.id())) {
                kept.add(engine);
            } else {
                classes.computeIfAbsent(
                                List.of(engine.domain(), engine.layers()), key -> new ArrayList<>())
                        .add(engine);
            }
        }
        for (List<Engine> members : classes.values()) {
            for (int i = 0; i < REPAIR_MEMBERS && !members.isEmpty(); i++) {
                kept.add(members.remove(random.nextInt(members.size())));
            }
        }
        return kept;
    }

    private Optional<Engine> survivor(ChainRequest request, Hop hop) {
        Optional<UpstreamObservation> seen = mContext.board().upstreams().get(hop.upstream());
        boolean lost = seen.isPresent() && seen.get().reachability() == Reachability.LOST;
        if (lost) {
            return Optional.empty();
        }
        return request.configuration()
                .upstream(hop.upstream())
                .filter(spec -> spec.accelerator().isPresent())
                .map(spec -> new Engine(spec, spec.accelerator().get(), hop.layers(), seen));
    }

    private ChainDecision finish(
            ChainRequest request, List<Step> steps, List<ChainDecision.Candidate> considered) {
        Chain chain = considered.get(0).chain();
        Duration predicted = considered.get(0).predictedFirstToken();
        chain.hops().forEach(hop -> mLeaving.check(hop.upstream()));
        mLearning.remember(chain, steps, predicted.toNanos(), request.prefixHashes());
        return new ChainDecision.Chosen(chain, predicted, considered);
    }

    private ChainDecision noChain(ChainRequest request, List<Engine> engines) {
        String reason = ChainText.gap(request.model(), engines);
        return new ChainDecision.NoChain(reason, Optional.of(RETRY_AFTER));
    }

    private PrefixIndex prefixes() {
        return mLearning.prefixes();
    }

    private static Chain chain(ChainRequest request, List<Step> steps) {
        List<Hop> hops = new ArrayList<>(steps.size());
        for (Step step : steps) {
            LayerRange layers = step.layers();
            hops.add(new Hop(step.engine().id(), layers, new KvSource.Compute()));
        }
        return new Chain(request.model().id(), hops);
    }
}
