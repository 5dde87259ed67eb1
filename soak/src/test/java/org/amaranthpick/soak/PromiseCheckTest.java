package org.amaranthpick.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthpick.platform.standin.ReceivedResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PromiseCheckTest {
    private static final int EVENT_COUNT = 10;
    private static final Duration WAITED = Duration.ofSeconds(1);

    /** Around a request whose daemon was killed; what it may still not do holds always. */
    private static final CallCircumstances KILLED = around(true, true, true, WAITED);

    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    private static List<String> check(
            CallKind kind, ReceivedResponse answer, int runs, boolean calm) {
        return check(kind, answer, runs, calm, KILLED, Set.of());
    }

    private static List<String> check(
            CallKind kind,
            ReceivedResponse answer,
            int runs,
            boolean calm,
            CallCircumstances around,
            Set<String> logged) {
        CallRecord call = new CallRecord("r", kind, answer, calm, around);
        return new PromiseCheck(EVENT_COUNT, logged)
                .broken(List.of(call), runs == 0 ? Map.of() : Map.of("r", runs));
    }

    private static CallCircumstances around(
            boolean sentWhole, boolean harmed, boolean disturbed, Duration waited) {
        return new CallCircumstances(
                sentWhole, harmed, disturbed, waited, "127.0.0.1:1", Instant.EPOCH);
    }

    private static CallCircumstances sound(boolean disturbed, long waitedMs) {
        return around(true, false, disturbed, Duration.ofMillis(waitedMs));
    }

    @ParameterizedTest
    @CsvSource({
        "1,false,0,'was read, ran 1 times and got no answer'",
        "0,true,0,'was read, ran 0 times and got no answer'",
        "0,false,201,got no answer in 201 ms"
    })
    void aWholeRequestWithoutAnAnswerIsSeen(int runs, boolean logged, long waitedMs, String seen) {
        List<String> broken =
                check(
                        CallKind.NON_IDEMPOTENT,
                        ReceivedResponse.NO_RESPONSE,
                        runs,
                        false,
                        sound(true, waitedMs),
                        logged ? Set.of("r") : Set.of());
        assertEquals(1, broken.size(), broken.toString());
        assertTrue(broken.get(0).endsWith(seen), broken.toString());
    }

    @Test
    void aConnectionMayCloseOnARequestThatWasNotRead() {
        for (CallCircumstances around :
                List.of(sound(false, 200), around(false, false, false, WAITED))) {
            assertEquals(
                    List.of(),
                    check(
                            CallKind.IDEMPOTENT,
                            ReceivedResponse.NO_RESPONSE,
                            0,
                            false,
                            around,
                            Set.of()));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT,200,true,1",
        "IDEMPOTENT,200,false,1",
        "STREAM,503,true,1",
        "STREAM,200,false,1",
        "STREAM,200,true,0"
    })
    void anAnswerThatBreaksOffIsSeen(CallKind kind, int status, boolean disturbed, int seen) {
        ReceivedResponse part = new ReceivedResponse(status, true, false, true, EVENTS);
        int runs = status == 200 ? 1 : 0;
        List<String> broken = check(kind, part, runs, false, sound(disturbed, 0), Set.of());
        assertEquals(seen, broken.size(), broken.toString());
    }

    @ParameterizedTest
    @CsvSource({
        "NON_IDEMPOTENT,502,2,false,ran 2 times",
        "NON_IDEMPOTENT,503,1,false,'was said not to have run, and ran'",
        "IDEMPOTENT,429,1,false,'was said not to have run, and ran'",
        "IDEMPOTENT,200,1,false,has no seal",
        "NON_IDEMPOTENT,0,1,true,was cut off by a daemon that was leaving"
    })
    void aBrokenPromiseIsSeen(CallKind kind, int status, int runs, boolean calm, String seen) {
        ReceivedResponse answer = new ReceivedResponse(status, false, true, false, "");
        List<String> broken = check(kind, answer, runs, calm);
        assertEquals(1, broken.size(), broken.toString());
        assertTrue(broken.get(0).endsWith(seen), broken.toString());
    }

    @ParameterizedTest
    @CsvSource({"IDEMPOTENT,502,3", "NON_IDEMPOTENT,0,1", "NON_IDEMPOTENT,503,0"})
    void theTruthIsNoBrokenPromise(CallKind kind, int status, int runs) {
        ReceivedResponse answer = new ReceivedResponse(status, false, true, false, "");
        assertEquals(List.of(), check(kind, answer, runs, false));
    }

    @Test
    void aStreamThatEndsEarlyMustNotLookComplete() {
        ReceivedResponse early = new ReceivedResponse(200, true, true, false, EVENTS);
        assertEquals(1, check(CallKind.STREAM, early, 1, false).size());
        ReceivedResponse broken = new ReceivedResponse(200, true, false, true, EVENTS);
        assertEquals(List.of(), check(CallKind.STREAM, broken, 1, false));
    }

    @Test
    void whatNobodyAskedForIsSeen() {
        assertEquals(
                1,
                new PromiseCheck(EVENT_COUNT, Set.of()).broken(List.of(), Map.of("x", 1)).size());
    }
}
