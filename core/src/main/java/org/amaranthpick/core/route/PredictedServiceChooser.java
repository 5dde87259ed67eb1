package org.amaranthpick.core.route;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.ServiceSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation;

/** Takes the less loaded of two instances drawn at random; near ones first unless all are busy. */
final class PredictedServiceChooser implements ServiceChooser {
    private static final int FAR_STREAMS = 4;
    private static final Duration MEMORY = Duration.ofSeconds(2);

    private final Routing.Context mContext;
    private final EngineDirectory mDirectory;
    private final LeavingWatch mLeaving;
    private final AtomicLong mChoices = new AtomicLong();
    private final Map<Identity, Deque<Long>> mCalls = new ConcurrentHashMap<>();

    PredictedServiceChooser(
            Routing.Context context, EngineDirectory directory, LeavingWatch leaving) {
        mContext = context;
        mDirectory = directory;
        mLeaving = leaving;
    }

    @Override
    public Optional<UpstreamSpec> choose(
            Configuration configuration, ServiceSpec service, Set<Identity> excluded) {
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
            return Optional.empty();
        }
        UpstreamSpec chosen = lessLoaded(open);
        mLeaving.check(chosen.id());
        noteCall(chosen.id());
        return Optional.of(chosen);
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
        Optional<UpstreamObservation> seen = mContext.board().upstreams().get(spec.id());
        int reported = seen.isPresent() ? seen.get().status().runningStreams() : 0;
        long sinceMs = mContext.scheduler().instant().toEpochMilli() - MEMORY.toMillis();
        if (seen.isPresent()) {
            sinceMs = Math.max(sinceMs, seen.get().sampledAt().toEpochMilli());
        }
        int far = spec.domain().equals(mContext.domain()) ? 0 : FAR_STREAMS;
        return reported + callsSince(spec.id(), sinceMs) + far;
    }

    private void noteCall(Identity upstream) {
        long nowMs = mContext.scheduler().instant().toEpochMilli();
        Deque<Long> calls = mCalls.computeIfAbsent(upstream, key -> new ArrayDeque<>());
        synchronized (calls) {
            calls.addLast(nowMs);
        }
    }

    private int callsSince(Identity upstream, long sinceMs) {
        Deque<Long> calls = mCalls.get(upstream);
        if (calls == null) {
            return 0;
        }
        synchronized (calls) {
            while (!calls.isEmpty() && calls.peekFirst() < sinceMs) {
                calls.removeFirst();
            }
            return calls.size();
        }
    }
}
