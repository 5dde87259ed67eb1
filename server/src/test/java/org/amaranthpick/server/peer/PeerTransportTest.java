package org.amaranthpick.server.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.server.Await;
import org.amaranthpick.server.Workers;
import org.amaranthpick.server.peer.PeerCounters.Event;
import org.amaranthpick.server.time.SystemScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.xnio.XnioWorker;

/** Links between daemons: delivery, keys, replacement of silent connections. */
class PeerTransportTest {
    private static final int MAX_SENDS = 3000;
    private static final int DAEMONS = 439;

    static final PeerSettings SETTINGS =
            new PeerSettings(
                    Duration.ofSeconds(5),
                    4,
                    Duration.ZERO,
                    Duration.ofMillis(300),
                    Duration.ofSeconds(30),
                    Duration.ofMillis(5),
                    Duration.ofMillis(20),
                    1024,
                    8 * 1024 * 1024,
                    4 * 1024 * 1024);

    private final XnioWorker mWorker = Workers.start();
    private final SystemScheduler mScheduler = new SystemScheduler("test-timer");

    @AfterEach
    void stop() {
        mScheduler.close();
        mWorker.shutdownNow();
    }

    /** Returns a key of one repeated letter. */
    static byte[] key(char letter) {
        byte[] key = new byte[PeerKeys.MIN_KEY_BYTES];
        Arrays.fill(key, (byte) letter);
        return key;
    }

    private TestPeer peer(String name, String keys) {
        Optional<byte[]> other =
                keys.length() > 1 ? Optional.of(key(keys.charAt(1))) : Optional.empty();
        PeerKeys peerKeys = new PeerKeys(key(keys.charAt(0)), other);
        return new TestPeer(name, peerKeys, SETTINGS, mWorker, mScheduler);
    }

    @Test
    void deliversInOrderBothWaysAndToItself() throws InterruptedException {
        try (TestPeer a = peer("a", "k");
                TestPeer b = peer("b", "k")) {
            a.knows(b);
            b.knows(a);
            for (int i = 0; i < 500; i++) {
                a.send(b.host(), "m" + i);
            }
            for (int i = 0; i < 500; i++) {
                assertEquals("a: m" + i, b.next());
            }
            b.send(a.host(), "back");
            assertEquals("b: back", a.next());
            a.send(a.host(), "self");
            assertEquals("a: self", a.next());
            assertEquals(1, a.count(Event.CONNECTIONS_OPENED));
        }
    }

    @Test
    void carriesLargeMessages() throws InterruptedException {
        try (TestPeer a = peer("a", "k");
                TestPeer b = peer("b", "k")) {
            a.knows(b);
            String large = "x".repeat(3_900_000);
            a.send(b.host(), large);
            assertEquals("a: " + large, b.next());
        }
    }

    @ParameterizedTest(name = "opener {0}, acceptor {1}: {2}")
    @CsvSource({
        "o, o, true",
        "o, on, true",
        "o, no, true",
        "n, on, true",
        "n, no, true",
        "n, o, false",
        "o, n, false"
    })
    void acceptsEitherOfTwoKeys(String opener, String acceptor, boolean accepted)
            throws InterruptedException {
        try (TestPeer a = peer("a", opener);
                TestPeer b = peer("b", acceptor)) {
            a.knows(b);
            a.send(b.host(), "hello");
            Await.until(
                    () ->
                            b.count(Event.CONNECTIONS_ACCEPTED) + b.count(Event.STRANGERS_REFUSED)
                                    > 0,
                    "a verdict on the opener");
            assertEquals(accepted ? 1 : 0, b.count(Event.CONNECTIONS_ACCEPTED));
            assertEquals(
                    accepted ? Optional.of("a: hello") : Optional.empty(), firstOf(b, accepted));
        }
    }

    private static Optional<String> firstOf(TestPeer peer, boolean expected)
            throws InterruptedException {
        return expected ? Optional.of(peer.next()) : peer.poll();
    }

    @Test
    void allDaemonsMayConnectAtOnce() throws InterruptedException {
        List<TestPeer> daemons = new ArrayList<>();
        PeerSettings settings = withTimes(Duration.ofSeconds(20), Duration.ofSeconds(30));
        PeerKeys keys = new PeerKeys(key('k'), Optional.empty());
        try (TestPeer b = new TestPeer("b", keys, settings, mWorker, mScheduler)) {
            for (int i = 0; i < DAEMONS; i++) {
                daemons.add(new TestPeer("d" + i, keys, settings, mWorker, mScheduler));
                daemons.get(i).knows(b);
            }
            daemons.forEach(daemon -> daemon.send(b.host(), "back"));
            Set<String> received = new HashSet<>();
            for (int i = 0; i < DAEMONS; i++) {
                received.add(b.next());
            }
            assertEquals(DAEMONS, received.size());
        } finally {
            daemons.forEach(TestPeer::close);
        }
    }

    /** Returns the bounds of a daemon, with time enough for a slow test machine. */
    private static PeerSettings withTimes(Duration timeout, Duration idle) {
        PeerSettings d = PeerSettings.defaults();
        return new PeerSettings(
                timeout,
                d.maxStrangers(),
                d.pingAfter(),
                d.pingTimeout(),
                idle,
                d.backoffMin(),
                d.backoffMax(),
                d.maxQueuedFrames(),
                d.maxQueuedBytes(),
                d.maxFrameBytes());
    }

    static void sendUntilReceived(TestPeer from, TestPeer to) throws InterruptedException {
        for (int i = 0; i < MAX_SENDS; i++) {
            from.send(to.host(), "again");
            Optional<String> message = to.poll();
            if (message.isPresent()) {
                assertEquals(from.host().name() + ": again", message.get());
                return;
            }
        }
        throw new AssertionError("no message came through");
    }

    @Test
    void wrongHostIsRefused() throws InterruptedException {
        try (TestPeer a = peer("a", "k");
                TestPeer b = peer("b", "k")) {
            a.knows(TestPeer.host("c"), b.port());
            a.send(TestPeer.host("c"), "for c");
            Await.until(() -> b.count(Event.STRANGERS_REFUSED) > 0, "refusal");
            assertEquals(Optional.empty(), b.poll());
        }
    }

    @Test
    void silentConnectionIsReplacedByFreshOne() throws InterruptedException, IOException {
        try (TestPeer a = peer("a", "k");
                TestPeer b = peer("b", "k");
                Relay relay = new Relay(b.port())) {
            a.knows(b.host(), relay.port());
            a.send(b.host(), "before");
            assertEquals("a: before", b.next());
            relay.silenceOpenConnections();
            sendUntilReceived(a, b);
            assertEquals(1, a.count(Event.CONNECTIONS_SILENT));
            assertEquals(2, a.count(Event.CONNECTIONS_OPENED));
            assertEquals(0, a.count(Event.CONNECTIONS_FAILED));
        }
    }

    @Test
    void unusedLinksAreForgottenAndOpenAgain() throws InterruptedException {
        PeerSettings settings = withTimes(Duration.ofSeconds(20), Duration.ofMillis(50));
        PeerKeys keys = new PeerKeys(key('k'), Optional.empty());
        try (TestPeer a = new TestPeer("a", keys, settings, mWorker, mScheduler);
                TestPeer b = new TestPeer("b", keys, settings, mWorker, mScheduler)) {
            a.knows(b);
            a.send(b.host(), "first");
            assertEquals("a: first", b.next());
            a.send(TestPeer.host("unknown"), "lost");
            a.knows(TestPeer.host("gone"), 1);
            a.send(TestPeer.host("gone"), "lost");
            Await.until(() -> a.links() == 0, "no links");
            a.send(b.host(), "second");
            assertEquals("a: second", b.next());
            assertEquals(2, a.count(Event.CONNECTIONS_OPENED));
        }
    }

    @Test
    void unreachablePeerIsReachedOnceItIsThere() throws InterruptedException {
        try (TestPeer a = peer("a", "k")) {
            try (TestPeer gone = peer("b", "k")) {
                a.knows(gone);
            }
            Await.until(
                    () -> {
                        a.send(TestPeer.host("b"), "lost");
                        return a.count(Event.CONNECTIONS_FAILED) >= 2;
                    },
                    "failed connections");
            assertTrue(a.count(Event.MESSAGES_DROPPED) > 0);
            try (TestPeer b = peer("b", "k")) {
                a.knows(b);
                sendUntilReceived(a, b);
            }
        }
    }
}
