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

/**
 * Chooses the less loaded of two random instances, or the least loaded instance of the local domain
 * if that is not busier.
 */
final class LeastLoadedServiceChooser implements ServiceChooser {
    private static final int REMOTE_DOMAIN_PENALTY_STREAMS = 4;
    private static final Duration CALL_RETENTION = Duration.ofSeconds(2);

    private final Routing.Context mContext;
    private final EngineDirectory mDirectory;
    private final LeavingUpstreamMonitor mLeavingMonitor;
    private final AtomicLong mChoiceCount = new AtomicLong();
    private final Map<Identity, Deque<Long>> mCallTimesMs = new ConcurrentHashMap<>();

    LeastLoadedServiceChooser(
            Routing.Context context,
            EngineDirectory directory,
            LeavingUpstreamMonitor leavingMonitor) {
        mContext = context;
        mDirectory = directory;
        mLeavingMonitor = leavingMonitor;
    }

    @Override
    public Optional<UpstreamSpec> choose(
            Configuration configuration, ServiceSpec service, Set<Identity> excluded) {
        List<UpstreamSpec> candidates = new ArrayList<>();
        for (Identity id : service.upstreams()) {
            Optional<UpstreamSpec> spec = configuration.upstream(id);
            if (spec.isPresent()
                    && !excluded.contains(id)
                    && mDirectory.acceptsWork(configuration, id)) {
                candidates.add(spec.get());
            }
        }
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        UpstreamSpec chosen = lessLoaded(candidates);
        mLeavingMonitor.check(chosen.id());
        recordCall(chosen.id());
        return Optional.of(chosen);
    }

    private UpstreamSpec lessLoaded(List<UpstreamSpec> candidates) {
        SplittableRandom random =
                new SplittableRandom(mContext.seed() ^ mChoiceCount.incrementAndGet());
        UpstreamSpec first = candidates.get(random.nextInt(candidates.size()));
        UpstreamSpec second = candidates.get(random.nextInt(candidates.size()));
        Optional<UpstreamSpec> local =
                candidates.stream()
                        .filter(spec -> spec.domain().equals(mContext.domain()))
                        .min(Comparator.comparingInt(this::load));
        UpstreamSpec sampled = load(second) < load(first) ? second : first;
        return local.isPresent() && load(local.get()) <= load(sampled) ? local.get() : sampled;
    }

    private int load(UpstreamSpec spec) {
        Optional<UpstreamObservation> observation = mContext.board().upstreams().get(spec.id());
        int reported = observation.isPresent() ? observation.get().status().runningStreams() : 0;
        long sinceMs = mContext.scheduler().instant().toEpochMilli() - CALL_RETENTION.toMillis();
        if (observation.isPresent()) {
            sinceMs = Math.max(sinceMs, observation.get().sampledAt().toEpochMilli());
        }
        int remotePenalty =
                spec.domain().equals(mContext.domain()) ? 0 : REMOTE_DOMAIN_PENALTY_STREAMS;
        return reported + callsSince(spec.id(), sinceMs) + remotePenalty;
    }

    private void recordCall(Identity upstream) {
        long nowMs = mContext.scheduler().instant().toEpochMilli();
        Deque<Long> callTimesMs = mCallTimesMs.computeIfAbsent(upstream, key -> new ArrayDeque<>());
        synchronized (callTimesMs) {
            callTimesMs.addLast(nowMs);
        }
    }

    private int callsSince(Identity upstream, long sinceMs) {
        Deque<Long> callTimesMs = mCallTimesMs.get(upstream);
        if (callTimesMs == null) {
            return 0;
        }
        synchronized (callTimesMs) {
            while (!callTimesMs.isEmpty() && callTimesMs.peekFirst() < sinceMs) {
                callTimesMs.removeFirst();
            }
            return callTimesMs.size();
        }
    }
}
