package org.amaranthpick.server.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.gateway.GatewayRoute;
import org.amaranthpick.core.gateway.RequestKind;
import org.amaranthpick.core.gateway.ServiceShare;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;

class StopSequenceTest {
    private static final Duration GRACE = Duration.ofSeconds(8);
    private static final Duration DEADLINE = Duration.ofSeconds(12);

    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final StopSequence mStop = new StopSequence(mScheduler, GRACE);
    private final List<String> mEvents = new ArrayList<>();
    private int mOpenCount;
    private int mConnectionCount;

    private final class RecordingSteps implements StopSequence.Steps {
        @Override
        public void withdraw() {
            note("withdraw");
        }

        @Override
        public void refuse() {
            note("refuse");
        }

        @Override
        public void interrupt() {
            note("interrupt");
        }

        @Override
        public void closeIdle() {
            note("close");
        }

        @Override
        public int openCount() {
            return mOpenCount;
        }

        @Override
        public int connectionCount() {
            return mConnectionCount;
        }
    }

    private void note(String event) {
        mEvents.add(mScheduler.monotonicNs() / 1_000_000 + " " + event);
    }

    private void start() {
        mStop.start(new RecordingSteps(), drained -> note("end " + drained));
    }

    private static GatewayRoute route(RequestKind kind, Duration targetLatency) {
        return new GatewayRoute(
                "r",
                "h.example",
                "/r/",
                kind,
                false,
                DEADLINE,
                targetLatency,
                Optional.empty(),
                1,
                List.of(new ServiceShare("app", 1)),
                1,
                false);
    }

    @Test
    void endsSoonAfterItRefusesIfNothingIsOpen() {
        start();
        mScheduler.advance(GRACE);
        assertEquals(List.of("0 withdraw", "2500 refuse", "2500 close", "2600 end true"), mEvents);
    }

    @Test
    void waitsUntilEveryResponseIsWritten() {
        mOpenCount = 1;
        start();
        mScheduler.advance(Duration.ofMillis(4950));
        mOpenCount = 0;
        mScheduler.advance(GRACE);
        assertEquals(List.of("0 withdraw", "2500 refuse", "5000 close", "5100 end true"), mEvents);
    }

    /** A request can arrive on a new connection as the idle ones are closed. */
    @Test
    void waitsForARequestThatCameAsIdleConnectionsClosed() {
        start();
        mScheduler.advance(Duration.ofMillis(2550));
        mOpenCount = 1;
        mScheduler.advance(Duration.ofSeconds(1));
        mOpenCount = 0;
        mScheduler.advance(GRACE);
        assertEquals("3600 end true", mEvents.get(mEvents.size() - 1));
    }

    @Test
    void closesConnectionsUntilNoneIsLeft() {
        mConnectionCount = 2;
        start();
        mScheduler.advance(Duration.ofMillis(2750));
        mConnectionCount = 0;
        mScheduler.advance(GRACE);
        assertEquals(
                List.of(
                        "0 withdraw",
                        "2500 refuse",
                        "2500 close",
                        "2600 close",
                        "2700 close",
                        "2800 end true"),
                mEvents);
    }

    @Test
    void waitsOnlyAWhileForCallersThatDoNotCloseTheirConnections() {
        mConnectionCount = 1;
        start();
        mScheduler.advance(GRACE);
        assertEquals("3000 end true", mEvents.get(mEvents.size() - 1));
    }

    @Test
    void endsRequestsBeforeTheGraceIsOver() {
        mOpenCount = 1;
        start();
        mScheduler.advance(Duration.ofMillis(7550));
        mOpenCount = 0;
        mScheduler.advance(GRACE);
        assertEquals(
                List.of(
                        "0 withdraw",
                        "2500 refuse",
                        "7500 interrupt",
                        "7500 close",
                        "7600 end true"),
                mEvents);
    }

    @Test
    void endsWithTheGraceAtTheLatest() {
        mOpenCount = 1;
        start();
        mScheduler.advance(GRACE.multipliedBy(2));
        assertEquals(
                List.of(
                        "0 withdraw",
                        "2500 refuse",
                        "7500 interrupt",
                        "7500 close",
                        "7600 close",
                        "7700 close",
                        "7800 close",
                        "7900 close",
                        "8000 end false"),
                mEvents);
    }

    @Test
    void givesUpstreamsNoMoreThanWhatIsLeftOfTheGrace() {
        Duration age = Duration.ofSeconds(1);
        assertEquals(Optional.of(Duration.ofSeconds(11)), mStop.limit(Optional.of(DEADLINE), age));
        assertEquals(Optional.empty(), mStop.limit(Optional.empty(), age));
        mOpenCount = 1;
        start();
        mScheduler.advance(Duration.ofSeconds(2));
        assertEquals(Optional.of(Duration.ofSeconds(6)), mStop.limit(Optional.of(DEADLINE), age));
        assertEquals(Optional.of(Duration.ofSeconds(6)), mStop.limit(Optional.empty(), age));
        assertEquals(
                Optional.of(Duration.ofSeconds(3)),
                mStop.limit(Optional.of(Duration.ofSeconds(4)), age));
    }

    @Test
    void sendsWhatMayRunOnceOnlyIfItsObjectiveLiesBeforeTheEnd() {
        GatewayRoute shortOnce = route(RequestKind.NON_IDEMPOTENT, Duration.ofSeconds(4));
        GatewayRoute longOnce = route(RequestKind.NON_IDEMPOTENT, Duration.ofSeconds(9));
        GatewayRoute longRepeatable = route(RequestKind.IDEMPOTENT, Duration.ofSeconds(9));
        assertTrue(mStop.admits(longOnce));
        mOpenCount = 1;
        start();
        mScheduler.advance(Duration.ofSeconds(2));
        assertTrue(mStop.admits(shortOnce));
        assertFalse(mStop.admits(longOnce));
        assertTrue(mStop.admits(longRepeatable));
        mScheduler.advance(Duration.ofSeconds(6));
        assertFalse(mStop.admits(shortOnce));
        assertFalse(mStop.admits(longRepeatable));
    }
}
