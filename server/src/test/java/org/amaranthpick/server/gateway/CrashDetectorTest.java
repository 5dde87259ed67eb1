package org.amaranthpick.server.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.amaranthpick.core.layers.EngineControl;
import org.amaranthpick.core.layers.EngineReport;
import org.amaranthpick.core.layers.OrderOutcome;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.quarantine.PromptQuarantine;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** No crash of an engine was found any more after one query of it had failed. */
class CrashDetectorTest {
    private static final List<String> PARTS = List.of("part");
    private static final UpstreamEntry ENGINE =
            new UpstreamEntry(
                    "e",
                    "app",
                    "127.0.0.1:1",
                    "z",
                    false,
                    1,
                    Optional.empty(),
                    Optional.empty(),
                    1,
                    0);

    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final PromptQuarantine mQuarantine = new PromptQuarantine();
    private final List<String> mFailures = new ArrayList<>();

    static Stream<Supplier<CompletionStage<EngineReport>>> failures() {
        return Stream.of(
                () -> {
                    throw new IllegalStateException("made to throw");
                },
                () -> {
                    throw new AssertionError("made to throw");
                },
                () -> CompletableFuture.failedFuture(new IllegalStateException("made to fail")));
    }

    /** The first query fails, the following ones show that the engine is gone. */
    private static EngineControl control(Supplier<CompletionStage<EngineReport>> first) {
        return new EngineControl() {
            private boolean mQueried;

            @Override
            public CompletionStage<OrderOutcome> sendOrder(
                    UpstreamEntry engine, LayerRange layers, long fence, long ordersBegun) {
                return new CompletableFuture<>();
            }

            @Override
            public CompletionStage<EngineReport> fetchReport(UpstreamEntry engine) {
                if (mQueried) {
                    return CompletableFuture.completedFuture(
                            new EngineReport.Absent("gone", EngineReport.Absent.Cause.UNREACHABLE));
                }
                mQueried = true;
                return first.get();
            }
        };
    }

    @ParameterizedTest
    @MethodSource("failures")
    void findsACrashAfterAQueryFailed(Supplier<CompletionStage<EngineReport>> failure) {
        mScheduler.setOnTaskFailed((task, thrown) -> mFailures.add(task));
        CrashDetector detector = new CrashDetector(control(failure), mQuarantine, mScheduler);
        detector.onResponseLost(ENGINE, PARTS);
        mScheduler.advance(Duration.ofMillis(1));
        assertEquals(List.of("crash query"), mFailures);
        detector.onResponseLost(ENGINE, PARTS);
        mScheduler.advance(Duration.ofMillis(1));
        assertTrue(mQuarantine.isSuspected("part"));
    }
}
