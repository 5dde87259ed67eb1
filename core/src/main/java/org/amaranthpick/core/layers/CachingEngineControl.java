package org.amaranthpick.core.layers;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.time.Scheduler;

/**
 * Engine control that caches state queries for a short time. A query costs the engine time, and the
 * streams of a chain usually stall together, so that many queries for one engine come at once.
 * Confined to one thread.
 */
public final class CachingEngineControl implements EngineControl {
    /** Time for which a report is reused. */
    private static final Duration CACHE_TIME = Duration.ofMillis(300);

    private final EngineControl mControl;
    private final Scheduler mScheduler;
    private final Map<String, CachedReport> mCached = new HashMap<>();

    private record CachedReport(CompletableFuture<EngineReport> report, long requestedNs) {}

    /**
     * Creates a cache in front of an engine control.
     *
     * @param control sends orders and queries
     * @param scheduler clock
     */
    public CachingEngineControl(EngineControl control, Scheduler scheduler) {
        mControl = control;
        mScheduler = scheduler;
    }

    @Override
    public CompletionStage<OrderOutcome> sendOrder(
            UpstreamEntry engine, LayerRange layers, long fence, long ordersBegun) {
        return mControl.sendOrder(engine, layers, fence, ordersBegun);
    }

    @Override
    public CompletionStage<EngineReport> fetchReport(UpstreamEntry engine) {
        long nowNs = mScheduler.monotonicNs();
        CachedReport cached = mCached.get(engine.id());
        if (cached != null && nowNs - cached.requestedNs() < CACHE_TIME.toNanos()) {
            return cached.report();
        }
        CompletionStage<EngineReport> fetched = mControl.fetchReport(engine);
        CompletableFuture<EngineReport> report = new CompletableFuture<>();
        mCached.put(engine.id(), new CachedReport(report, nowNs));
        fetched.whenComplete(
                (result, failure) -> {
                    if (failure == null) {
                        report.complete(result);
                    } else {
                        report.completeExceptionally(failure);
                    }
                });
        return report;
    }
}
