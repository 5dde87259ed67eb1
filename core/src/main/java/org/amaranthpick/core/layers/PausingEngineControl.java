package org.amaranthpick.core.layers;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * Engine control that sends nothing to engines that asked for a pause. An order to such an engine
 * is refused, so that the controller waits before it orders again.
 */
public final class PausingEngineControl implements EngineControl {
    private static final String PAUSED = "the engine asks for a pause";

    private final EngineControl mControl;
    private final Predicate<UpstreamEntry> mIsPaused;

    /**
     * Creates a control in front of another one.
     *
     * @param control sends orders and queries
     * @param isPaused whether an engine has asked for a pause
     */
    public PausingEngineControl(EngineControl control, Predicate<UpstreamEntry> isPaused) {
        mControl = control;
        mIsPaused = isPaused;
    }

    @Override
    public CompletionStage<OrderOutcome> sendOrder(
            UpstreamEntry engine, LayerRange layers, long fence, long ordersBegun) {
        return mIsPaused.test(engine)
                ? CompletableFuture.completedFuture(new OrderOutcome.Refused(PAUSED))
                : mControl.sendOrder(engine, layers, fence, ordersBegun);
    }

    @Override
    public CompletionStage<EngineReport> fetchReport(UpstreamEntry engine) {
        return mIsPaused.test(engine)
                ? CompletableFuture.completedFuture(
                        new EngineReport.Absent(PAUSED, EngineReport.Absent.Cause.PAUSED))
                : mControl.fetchReport(engine);
    }
}
