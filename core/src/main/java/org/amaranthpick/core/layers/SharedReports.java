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
 * Asks each engine for its state rarely: a question costs the engine time, and many streams of one
 * chain fall silent together. Questions within a short time share one answer. Confined to one
 * thread.
 */
public final class SharedReports implements EngineControl {
    /** Time for which an answer serves further questions. */
    private static final Duration SHARED = Duration.ofMillis(300);

    private final EngineControl mControl;
    private final Scheduler mScheduler;
    private final Map<String, Asked> mAsked = new HashMap<>();

    private record Asked(CompletableFuture<EngineReport> answer, long atNs) {}

    /**
     * Creates the sharing front of a control.
     *
     * @param control asks the engines
     * @param scheduler clock
     */
    public SharedReports(EngineControl control, Scheduler scheduler) {
        mControl = control;
        mScheduler = scheduler;
    }

    @Override
    public CompletionStage<OrderOutcome> hold(
            UpstreamEntry engine, LayerRange layers, long fence, long ordersBegun) {
        return mControl.hold(engine, layers, fence, ordersBegun);
    }

    @Override
    public CompletionStage<EngineReport> report(UpstreamEntry engine) {
        long nowNs = mScheduler.monotonicNs();
        Asked asked = mAsked.get(engine.id());
        if (asked != null && nowNs - asked.atNs() < SHARED.toNanos()) {
            return asked.answer();
        }
        CompletableFuture<EngineReport> answer = new CompletableFuture<>();
        mAsked.put(engine.id(), new Asked(answer, nowNs));
        mControl.report(engine).thenAccept(answer::complete);
        return answer;
    }
}
