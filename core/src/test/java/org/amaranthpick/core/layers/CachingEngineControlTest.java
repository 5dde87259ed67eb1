package org.amaranthpick.core.layers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;

class CachingEngineControlTest {
    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final CountingControl mControl = new CountingControl();
    private final CachingEngineControl mReports = new CachingEngineControl(mControl, mScheduler);
    private final UpstreamEntry mEngine =
            new UpstreamEntry(
                    "e",
                    "llm",
                    "10.0.0.1:80",
                    "z",
                    false,
                    4,
                    Optional.empty(),
                    Optional.empty(),
                    1,
                    0);

    /** Twenty streams of one chain stall within a tenth of a second. */
    @Test
    void queriesWithinTheCacheTimeAreSentOnce() {
        for (int i = 0; i < 20; i++) {
            mReports.fetchReport(mEngine);
            mScheduler.advance(Duration.ofMillis(5));
        }
        assertEquals(1, mControl.mReports);
        mScheduler.advance(Duration.ofMillis(300));
        mReports.fetchReport(mEngine);
        assertEquals(2, mControl.mReports);
    }

    /** Whoever waited for the report was never told, and neither were those who asked later. */
    @Test
    void aReportThatFailsFailsForAllWhoWaitForIt() {
        CompletableFuture<EngineReport> first = mReports.fetchReport(mEngine).toCompletableFuture();
        mControl.mReport.completeExceptionally(new IllegalStateException("made to fail"));
        assertTrue(first.isCompletedExceptionally());
        assertTrue(mReports.fetchReport(mEngine).toCompletableFuture().isCompletedExceptionally());
    }

    /**
     * Those that asked next within the cache time waited for a report that nobody had asked for.
     */
    @Test
    void aQueryThatThrowsLeavesNoReportToWaitFor() {
        mControl.mThrows = true;
        assertThrows(IllegalStateException.class, () -> mReports.fetchReport(mEngine));
        mControl.mThrows = false;
        CompletableFuture<EngineReport> next = mReports.fetchReport(mEngine).toCompletableFuture();
        mControl.mReport.completeExceptionally(new IllegalStateException("made to fail"));
        assertTrue(next.isDone());
    }

    private static final class CountingControl implements EngineControl {
        private final CompletableFuture<EngineReport> mReport = new CompletableFuture<>();
        private int mReports;
        private boolean mThrows;

        @Override
        public CompletionStage<OrderOutcome> sendOrder(
                UpstreamEntry engine, LayerRange layers, long fence, long ordersBegun) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletionStage<EngineReport> fetchReport(UpstreamEntry engine) {
            mReports++;
            if (mThrows) {
                throw new IllegalStateException("made to throw");
            }
            return mReport;
        }
    }
}
