package org.amaranthpick.core.layers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;
import org.junit.jupiter.api.Test;

/** An engine that asks for a pause gets neither orders nor queries. */
class PausingEngineControlTest {
    private static final LayerRange LAYERS = new LayerRange(0, 4);
    private static final UpstreamEntry ENGINE =
            new UpstreamEntry(
                    "e",
                    "llm",
                    "10.0.0.1:80",
                    "z",
                    false,
                    1,
                    Optional.empty(),
                    Optional.empty(),
                    1,
                    0);

    private boolean mPaused;
    private int mCalls;
    private final EngineControl mControl =
            new PausingEngineControl(new CountingControl(), engine -> mPaused);

    private final class CountingControl implements EngineControl {
        @Override
        public CompletionStage<OrderOutcome> sendOrder(
                UpstreamEntry engine, LayerRange layers, long fence, long ordersBegun) {
            mCalls++;
            return CompletableFuture.completedFuture(new OrderOutcome.Accepted());
        }

        @Override
        public CompletionStage<EngineReport> fetchReport(UpstreamEntry engine) {
            mCalls++;
            return CompletableFuture.completedFuture(
                    new EngineReport.Present(0, 0, 0, 0, 0, Map.of()));
        }
    }

    private OrderOutcome order() {
        return mControl.sendOrder(ENGINE, LAYERS, 1, 0).toCompletableFuture().join();
    }

    private EngineReport report() {
        return mControl.fetchReport(ENGINE).toCompletableFuture().join();
    }

    @Test
    void sendsNothingDuringAPause() {
        mPaused = true;
        assertInstanceOf(OrderOutcome.Refused.class, order());
        EngineReport.Absent absent = assertInstanceOf(EngineReport.Absent.class, report());
        assertEquals(EngineReport.Absent.Cause.PAUSED, absent.cause());
        assertEquals(0, mCalls);
        mPaused = false;
        assertInstanceOf(OrderOutcome.Accepted.class, order());
        assertInstanceOf(EngineReport.Present.class, report());
        assertEquals(2, mCalls);
    }
}
