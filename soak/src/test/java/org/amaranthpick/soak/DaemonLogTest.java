package org.amaranthpick.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DaemonLogTest {
    private static final String SENT = "I request: id=r outcome=attempt route=get\n";
    private static final String ENDED = "I request: id=r outcome=answered route=get\n";
    private static final String FINISHED = "I stop: drained=true\n";
    private static final String LEFT_OUT = "W log: left_out=3 lines\n";

    @ParameterizedTest
    @CsvSource({
        "NONE,false,false,1",
        "NONE,false,true,0",
        "STOPPED,true,false,1",
        "STOPPED,false,false,0",
        "KILLED,false,false,0"
    })
    void aRequestThatWasSentAndHasNoEndIsSeen(
            DaemonLog.End end, boolean finished, boolean leftOut, int seen) {
        DaemonLog log = new DaemonLog();
        log.add(SENT + (finished ? FINISHED : "") + (leftOut ? LEFT_OUT : ""), end);
        assertEquals(seen, log.broken().size(), log.broken().toString());
        assertEquals(Set.of("r"), log.ids());
    }

    @ParameterizedTest
    @CsvSource({"1,0", "2,1"})
    void aRequestThatEndsTwiceIsSeen(int ends, int seen) {
        DaemonLog log = new DaemonLog();
        log.add(SENT + ENDED.repeat(ends), DaemonLog.End.KILLED);
        assertEquals(seen, log.broken().size(), log.broken().toString());
    }
}
