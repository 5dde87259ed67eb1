package org.amaranthpick.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.manifest.ServiceSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Takes the less loaded of two instances drawn at random; near ones first unless all are busy. */
final class PredictedServiceChooser implements ServiceChooser {
    private static final int FAR_STREAMS = 4;

    private final Routing.Context mContext;
    private final EngineDirectory mDirectory;
    private final LeavingWatch mLeaving;
    private final AtomicLong mChoices = new AtomicLong();
    private final Map<Identity, AtomicInteger> mCalls = new ConcurrentHashMap<>();

    PredictedServiceChooser(
            Routing.Context context, EngineDirectory directory, LeavingWatch leaving) {
        mContext = context;
        mDirectory = directory;
        mLeaving = leaving;
    }

    @Override
    public Optional<UpstreamSpec> choose(
            String requestId,
            Configuration configuration,
            ServiceSpec service,
            Set<Identity> excluded) {
        List<UpstreamSpec> open = new ArrayList<>();
        for (Identity id : service.upstreams()) {
            Optional<UpstreamSpec> spec = configuration.upstream(id);
            if (spec.isPresent()
                    && !excluded.contains(id)
                    && mDirectory.acceptsWork(configuration, id)) {
                open.add(spec.get());
            }
        }
        if (open.isEmpty()) {
            String text = "no instance of " + service.id().qualifiedName() + " takes work";
            mContext.log().record(DecisionKind.CHAIN, requestId, text);
            return Optional.empty();
        }
        UpstreamSpec chosen = lessLoaded(open);
        mLeaving.check(chosen.id());
        calls(chosen.id()).incrementAndGet();
        String text = "chose instance " + chosen.id().qualifiedName() + " of " + open.size();
        mContext.log().record(DecisionKind.CHAIN, requestId, text);
        return Optional.of(chosen);
    }

    @Override
    public void onEnded(Identity upstream) {
        calls(upstream).updateAndGet(count -> Math.max(0, count - 1));
    }

    private UpstreamSpec lessLoaded(List<UpstreamSpec> open) {
        SplittableRandom random =
                new SplittableRandom(mContext.seed() ^ mChoices.incrementAndGet());
        UpstreamSpec first = open.get(random.nextInt(open.size()));
        UpstreamSpec second = open.get(random.nextInt(open.size()));
        Optional<UpstreamSpec> near =
                open.stream()
                        .filter(spec -> spec.domain().equals(mContext.domain()))
                        .min(Comparator.comparingInt(this::load));
        UpstreamSpec better = load(second) < load(first) ? second : first;
        return near.isPresent() && load(near.get()) <= load(better) ? near.get() : better;
    }

    private int load(UpstreamSpec spec) {
        int reported =
                mContext.board()
                        .upstreams()
                        .get(spec.id())
                        .map(seen -> seen.status().runningStreams())
                        .orElse(0);
        int far = spec.domain().equals(mContext.domain()) ? 0 : FAR_STREAMS;
        return Math.max(reported, calls(spec.id()).get()) + far;
    }

    private AtomicInteger calls(Identity upstream) {
        return mCalls.computeIfAbsent(upstream, key -> new AtomicInteger());
    }
}
