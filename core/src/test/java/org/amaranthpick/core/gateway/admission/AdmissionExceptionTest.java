package org.amaranthpick.core.gateway.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.gateway.GatewayRoute;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.gateway.RequestKind;
import org.amaranthpick.core.gateway.ServiceShare;
import org.amaranthpick.core.time.TaskGuard;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** After an exception in one step the other waiting requests got no decision. */
class AdmissionExceptionTest {
    private static final EngineModel MODEL =
            new EngineModel(
                    8, 1, 1, 10, 1, 0, 0, 1, 800, 200, 1, OptionalInt.empty(), 1, 1, 1, Map.of());
    private static final GatewayService SERVICE =
            new GatewayService("llm", 100, Optional.of(MODEL));
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final GatewayRoute ROUTE =
            new GatewayRoute(
                    "r",
                    "h",
                    "/",
                    RequestKind.STREAM,
                    true,
                    TIMEOUT,
                    Duration.ofMillis(500),
                    Optional.of(Duration.ofMillis(250)),
                    0,
                    List.of(new ServiceShare("llm", 1)),
                    2,
                    false);

    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final TaskGuard mGuard = new TaskGuard(mScheduler);
    private final List<LoadDecision> mDecisions = new ArrayList<>();
    private final List<String> mFailures = new ArrayList<>();
    private double mFill = 1;
    private int mExceptions;
    private Throwable mThrown;
    private final LoadAdmission mAdmission =
            new LoadAdmission((service, nowNs) -> room(), () -> 1, mScheduler);

    private Optional<ModelRoom> room() {
        if (mExceptions > 0) {
            mExceptions--;
            rethrow(mThrown);
        }
        double free = 100_000 * (1 - mFill);
        return Optional.of(new ModelRoom(mFill, 10_000, 100_000, free, Optional.empty()));
    }

    @BeforeEach
    void countFailures() {
        mScheduler.setOnTaskFailed((task, failure) -> mFailures.add(task));
    }

    private void advance() {
        for (int i = 0; i < 100; i++) {
            mGuard.run("timer", () -> mScheduler.advance(Duration.ofMillis(50)));
        }
    }

    private void request(Consumer<LoadDecision> handler) {
        AdmissionCandidate candidate =
                new AdmissionCandidate(
                        SERVICE,
                        ROUTE,
                        0,
                        Optional.empty(),
                        RequestWork.of(WorkClaim.NONE, MODEL),
                        100,
                        mScheduler.monotonicNs(),
                        TIMEOUT);
        mAdmission.ticket(candidate).request(handler);
    }

    static Stream<RuntimeException> exceptions() {
        return Stream.of(new IllegalStateException("made to throw"));
    }

    static Stream<Error> errors() {
        return Stream.of(
                new AssertionError("made to throw"),
                new StackOverflowError("made to throw"),
                new NoClassDefFoundError("made to throw"));
    }

    @ParameterizedTest
    @MethodSource({"exceptions", "errors"})
    void othersAreSentAfterAHandlerThrew(Throwable thrown) {
        request(
                decision -> {
                    rethrow(thrown);
                });
        request(mDecisions::add);
        mFill = 0;
        advance();
        assertEquals(1, mDecisions.size());
        assertEquals(1, mFailures.size());
    }

    private static void rethrow(Throwable thrown) {
        if (thrown instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) thrown;
    }

    @ParameterizedTest
    @MethodSource({"exceptions", "errors"})
    void waitingRequestsAreCheckedAfterACheckThrew(Throwable thrown) {
        mThrown = thrown;
        request(mDecisions::add);
        mExceptions = 1;
        advance();
        assertEquals(1, mDecisions.size());
        assertEquals(1, mFailures.size());
    }
}
