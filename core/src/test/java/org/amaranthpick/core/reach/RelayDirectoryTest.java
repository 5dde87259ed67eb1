package org.amaranthpick.core.reach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a daemon's refusal says of the paths that it has opened before. */
class RelayDirectoryTest {
    private static final String PEER = "10.0.0.1:1";
    private static final long LONG_AFTER_NS = Duration.ofMinutes(1).toNanos();

    private final RelayDirectory mRelays = new RelayDirectory(() -> List.of(PEER), new Random(1));

    @ParameterizedTest
    @CsvSource({
        "LEAVING,true",
        "FULL,true",
        "PARTITIONED,false",
        "UNREACHABLE,false",
        "UNAVAILABLE,false"
    })
    void aDaemonThatOnlyTakesNoMoreFinishesWhatIsOpen(RelayReply.Status status, boolean finishes) {
        mRelays.onRefused(PEER, status, 0);
        assertEquals(finishes, mRelays.finishesOpenPaths(PEER, 0));
        assertFalse(mRelays.finishesOpenPaths(PEER, LONG_AFTER_NS));
    }

    @Test
    void aLeavingDaemonThatNoLongerAnswersFinishesNothing() {
        mRelays.onRefused(PEER, RelayReply.Status.LEAVING, 0);
        mRelays.onUnreachable(PEER, 1);
        assertFalse(mRelays.finishesOpenPaths(PEER, 1));
    }
}
