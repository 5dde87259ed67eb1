package org.amaranthpick.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.amaranthpick.platform.standin.ReceivedResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PromiseCheckTest {
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    private static List<String> check(
            CallKind kind, ReceivedResponse answer, int runs, boolean calm) {
        CallRecord call = new CallRecord("r", kind, answer, calm);
        return PromiseCheck.broken(List.of(call), runs == 0 ? Map.of() : Map.of("r", runs));
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
        assertEquals(1, PromiseCheck.broken(List.of(), Map.of("x", 1)).size());
    }
}
