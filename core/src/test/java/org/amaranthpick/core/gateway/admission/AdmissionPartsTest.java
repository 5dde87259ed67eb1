package org.amaranthpick.core.gateway.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.gateway.GatewayRoute;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.gateway.RequestKind;
import org.amaranthpick.core.gateway.ServiceShare;
import org.amaranthpick.core.gateway.admission.LoadDecision.Outcome;
import org.amaranthpick.core.gateway.admission.LoadDecision.Reason;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class AdmissionPartsTest {
    private static final EngineModel MODEL =
            new EngineModel(
                    8, 1, 1, 10, 1, 0, 0, 1, 800, 200, 1, OptionalInt.empty(), 1, 1, 1, Map.of());
    private static final GatewayService SERVICE =
            new GatewayService("llm", 100, Optional.of(MODEL));
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final List<LoadDecision> mDecisions = new ArrayList<>();
    private Optional<ModelRoom> mRoom = room(1.0);
    private final LoadAdmission mAdmission =
            new LoadAdmission((service, nowNs) -> mRoom, () -> 10, mScheduler);

    private static Optional<ModelRoom> room(double fill) {
        double free = 100_000 * Math.max(0, 1 - fill);
        return Optional.of(new ModelRoom(fill, 10_000, 100_000, free, Optional.empty()));
    }

    private AdmissionTicket request(int priority, Duration timeLimit, int bodyBytes) {
        GatewayRoute route =
                new GatewayRoute(
                        "r" + priority,
                        "h",
                        "/",
                        RequestKind.STREAM,
                        true,
                        TIMEOUT,
                        Duration.ofMillis(500),
                        Optional.of(Duration.ofMillis(250)),
                        priority,
                        List.of(new ServiceShare("llm", 1)),
                        2,
                        false);
        AdmissionTicket ticket =
                mAdmission.ticket(
                        new AdmissionCandidate(
                                SERVICE,
                                route,
                                priority,
                                Optional.empty(),
                                RequestWork.of(WorkClaim.NONE, MODEL),
                                bodyBytes,
                                mScheduler.monotonicNs(),
                                timeLimit));
        ticket.request(mDecisions::add);
        return ticket;
    }

    private static OptionalLong optional(Long value) {
        return value == null ? OptionalLong.empty() : OptionalLong.of(value);
    }

    /** Absent, plausible, far off, contradicting, zero and negative claims. */
    @ParameterizedTest
    @CsvSource({
        ",,,800,200",
        "400,300,100,400,150",
        "400,80,100,400,80",
        "9000000000,9000000000,9000000000,6400,900",
        "1,1,1,100,1",
        "0,0,0,800,200",
        "-5,-5,-5,800,200"
    })
    void limitsWhatCallersClaim(
            Long prompt, Long maximum, Long expected, double promptTokens, double answerTokens) {
        WorkClaim claim = new WorkClaim(optional(prompt), optional(maximum), optional(expected));
        assertEquals(
                new RequestWork(promptTokens, answerTokens, 1000), RequestWork.of(claim, MODEL));
    }

    /** Each case costs more than the next. */
    @Test
    void ordersByPriorityLatenessReturnAndWork() {
        double fresh = RefusalCost.of(0, true, false, 1);
        assertTrue(RefusalCost.of(0, true, true, 1) > fresh);
        assertTrue(fresh > RefusalCost.of(0, false, true, 1));
        assertTrue(RefusalCost.of(0, false, true, 1) > RefusalCost.of(0, false, false, 1));
        assertTrue(fresh > RefusalCost.of(1, true, false, 1));
        assertTrue(fresh > RefusalCost.of(0, true, false, 4));
        assertTrue(RefusalCost.of(0, true, false, 1e-9) > fresh);
        assertTrue(RefusalCost.of(-3, true, false, 1) == fresh);
        assertTrue(RefusalCost.of(99, true, false, 1) > 0);
    }

    @Test
    void tellsReturningCallersByTheirTime() {
        CallerTimes callers = new CallerTimes();
        assertEquals(Duration.ZERO, callers.age(TIMEOUT, 0));
        assertEquals(Duration.ofSeconds(3), callers.age(TIMEOUT.minusSeconds(3), 1));
        CallerTimes impatient = new CallerTimes();
        assertEquals(Duration.ZERO, impatient.age(Duration.ofSeconds(5), 0));
        assertEquals(Duration.ZERO, impatient.age(Duration.ofSeconds(5), 1));
    }

    @Test
    void spreadsReturnsAndPutsCostlyOnesFirst() {
        ReturnBacklog backlog = new ReturnBacklog();
        assertEquals(Duration.ZERO, backlog.add(5, 1000, 1000, 0));
        assertEquals(Duration.ofSeconds(1), backlog.add(5, 1000, 1000, 0));
        assertEquals(Duration.ZERO, backlog.add(6, 1000, 1000, 0));
        assertEquals(Duration.ofSeconds(3), backlog.add(5, 1000, 1000, 0));
        assertEquals(Duration.ofSeconds(2), backlog.add(5, 1000, 1000, 2_000_000_000L));
    }

    @Test
    void sendsEverythingWhileTheRoomIsUnknown() {
        mRoom = Optional.empty();
        for (int i = 0; i < 1000; i++) {
            request(9, TIMEOUT, 1 << 20);
        }
        assertEquals(1000, mDecisions.size());
        assertTrue(mDecisions.stream().allMatch(d -> d.reason() == Reason.UNKNOWN));
    }

    @Test
    void sendsAWaitingRequestOnceThereIsRoom() {
        AdmissionTicket ticket = request(0, TIMEOUT, 800);
        mScheduler.advance(Duration.ofMillis(100));
        assertEquals(List.of(), mDecisions);
        mRoom = room(0.5);
        mAdmission.onRoom();
        assertEquals(Outcome.SENT, mDecisions.get(0).outcome());
        assertEquals(Duration.ofMillis(100), mDecisions.get(0).waited());
        ticket.close(true);
    }

    @Test
    void forgetsACallerThatLeaves() {
        AdmissionTicket ticket = request(0, TIMEOUT, 800);
        ticket.close(false);
        mRoom = room(0.1);
        mAdmission.onRoom();
        mScheduler.advance(Duration.ofSeconds(5));
        assertEquals(List.of(), mDecisions);
        assertEquals(0, mScheduler.pending());
    }

    /** The hold time before any is known is 3 s, and the caller leaves after 2 s. */
    @ParameterizedTest
    @ValueSource(doubles = {1.0, 1.3, 3.0})
    void refusesInTimeForTheCallerToReturn(double fill) {
        mRoom = room(fill);
        request(0, TIMEOUT, 800);
        mScheduler.advance(Duration.ofMillis(1800));
        assertEquals(1, mDecisions.size());
        assertEquals(Outcome.REFUSED, mDecisions.get(0).outcome());
        assertTrue(fill < 3 || mDecisions.get(0).waited().isZero());
        assertFalse(mDecisions.get(0).retryAfter().isZero());
    }

    @Test
    void refusesAtOnceWhatCannotBeAnsweredAnyMore() {
        request(0, Duration.ofMillis(1500), 800);
        assertEquals(Reason.NO_TIME, mDecisions.get(0).reason());
        mRoom = room(0.2);
        request(0, Duration.ofMillis(1500), 800);
        assertEquals(Outcome.SENT, mDecisions.get(1).outcome());
    }

    /** A caller that has been refused waits where a new one is told to return. */
    @Test
    void keepsACallerThatHasReturned() {
        request(0, TIMEOUT, 800).close(false);
        mRoom = room(2);
        request(0, TIMEOUT, 800);
        assertEquals(1, mDecisions.size());
        request(0, TIMEOUT.minusSeconds(4), 800);
        mScheduler.advance(Duration.ofSeconds(1));
        assertEquals(1, mDecisions.size());
    }

    @Test
    void boundsTheMemoryOfWaitingRequests() {
        for (int i = 0; i < 20; i++) {
            request(1, TIMEOUT.minusSeconds(i > 0 ? 4 : 0), 1 << 20);
        }
        assertTrue(mDecisions.stream().allMatch(d -> d.outcome() == Outcome.REFUSED));
        assertTrue(mDecisions.size() >= 12);
        AdmissionTicket urgent = request(0, TIMEOUT, 800);
        assertTrue(urgent.isUndecided());
        assertEquals(Reason.PASSED_OVER, mDecisions.get(mDecisions.size() - 1).reason());
    }
}
