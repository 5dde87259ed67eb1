package org.amaranthpick.server.peer;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.amaranthpick.server.Await;
import org.amaranthpick.server.Workers;
import org.amaranthpick.server.peer.PeerCounters.Event;
import org.amaranthpick.server.time.SystemScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.xnio.XnioWorker;

/** What a stranger, or a peer that sends bad frames, gets from a daemon. */
class StrangerTest {
    private static final int READ_TIMEOUT_MS = 30_000;
    private static final PeerKeys KEYS = new PeerKeys(PeerTransportTest.key('k'), Optional.empty());
    private static final PeerKeys WRONG_KEYS =
            new PeerKeys(PeerTransportTest.key('w'), Optional.empty());
    private static final PeerSettings SETTINGS =
            new PeerSettings(
                    Duration.ofMillis(300),
                    4,
                    Duration.ofSeconds(30),
                    Duration.ofSeconds(30),
                    Duration.ofSeconds(30),
                    Duration.ofMillis(5),
                    Duration.ofMillis(20),
                    1024,
                    8 * 1024 * 1024,
                    64 * 1024);

    private final XnioWorker mWorker = Workers.start();
    private final SystemScheduler mScheduler = new SystemScheduler("test-timer");
    private final TestPeer mDaemon = new TestPeer("b", KEYS, SETTINGS, mWorker, mScheduler);
    private final TestPeer mPeer = new TestPeer("a", KEYS, SETTINGS, mWorker, mScheduler);

    @BeforeEach
    void connectPeer() throws InterruptedException {
        mPeer.knows(mDaemon);
        mPeer.send(mDaemon.host(), "first");
        assertEquals("a: first", mDaemon.next());
    }

    @AfterEach
    void stop() {
        mPeer.close();
        mDaemon.close();
        mScheduler.close();
        mWorker.shutdownNow();
    }

    static Stream<Arguments> strangers() {
        byte[] good = hello(KEYS, "c", "b").helloFrame();
        byte[] changed = good.clone();
        changed[10] ^= 1;
        return Stream.of(
                Arguments.of("nothing", new byte[0]),
                Arguments.of("half a length", new byte[] {0, 0}),
                Arguments.of("an HTTP request", "GET / HTTP/1.1\r\n\r\n".getBytes(UTF_8)),
                Arguments.of("an empty frame", new byte[4]),
                Arguments.of("a negative length", new byte[] {-1, 0, 0, 0}),
                Arguments.of("an oversized frame", framed(new byte[2000])),
                Arguments.of("garbage in a frame", framed(new byte[100])),
                Arguments.of("a cut hello", Arrays.copyOf(framed(good), 40)),
                Arguments.of("a changed hello", framed(changed)),
                Arguments.of(
                        "a hello for another host", framed(hello(KEYS, "c", "d").helloFrame())),
                Arguments.of(
                        "a hello of a wrong key",
                        framed(hello(WRONG_KEYS, "c", "b").helloFrame())));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("strangers")
    void strangerGetsNoByteAndIsCutOff(String name, byte[] bytes) throws Exception {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(bytes);
            assertEquals(-1, readOrReset(socket), name);
        }
        awaitCount(Event.STRANGERS_REFUSED, 1);
        peerStillWorks();
    }

    @Test
    void replayedHelloGetsNoConnection() throws Exception {
        Handshake opener = hello(KEYS, "c", "b");
        byte[] proof;
        try (RawPeer raw = new RawPeer(connect())) {
            raw.write(opener.helloFrame());
            proof = opener.proofFrame(raw.read());
            raw.write(proof);
            awaitCount(Event.CONNECTIONS_ACCEPTED, 2);
        }
        try (RawPeer replay = new RawPeer(connect())) {
            replay.write(opener.helloFrame());
            replay.read();
            replay.write(proof);
            awaitCount(Event.STRANGERS_REFUSED, 1);
        }
        assertEquals(2, mDaemon.count(Event.CONNECTIONS_ACCEPTED));
    }

    @Test
    void manyStrangersKeepNoPeerOut() throws Exception {
        Socket[] strangers = new Socket[40];
        for (int i = 0; i < strangers.length; i++) {
            strangers[i] = connect();
        }
        try (TestPeer late = new TestPeer("d", KEYS, SETTINGS, mWorker, mScheduler)) {
            late.knows(mDaemon);
            PeerTransportTest.sendUntilReceived(late, mDaemon);
        }
        for (Socket stranger : strangers) {
            stranger.close();
        }
    }

    static Stream<Arguments> badFrames() {
        return Stream.of(
                Arguments.of("malformed message", sealed(1, TextMessage.MALFORMED)),
                Arguments.of("changed frame", changed(sealed(1, "m"))),
                Arguments.of("frame out of turn", sealed(2, "m")),
                Arguments.of("too short frame", framed(new byte[3])),
                Arguments.of("oversized frame", ByteBuffer.allocate(4).putInt(1 << 20).array()));
    }

    /** Seals the last of several frames. */
    private interface Sealing {
        byte[] with(SealedFrames frames);
    }

    private static Sealing sealed(int number, String text) {
        return frames -> {
            byte[] payload = text.getBytes(UTF_8);
            ByteBuffer frame = ByteBuffer.allocate(100);
            for (int i = 0; i < number; i++) {
                frames.seal(SealedFrames.MESSAGE, payload, frame.clear());
            }
            return Arrays.copyOf(frame.array(), frame.position());
        };
    }

    private static Sealing changed(Object sealing) {
        return frames -> {
            byte[] frame = ((Sealing) sealing).with(frames);
            frame[FrameReader.LENGTH_BYTES + 1] ^= 1;
            return frame;
        };
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("badFrames")
    void badFrameClosesItsConnectionOnly(String name, Object frame) throws Exception {
        try (RawPeer raw = new RawPeer(connect())) {
            SealedFrames frames = raw.authenticate(hello(KEYS, "c", "b"));
            awaitCount(Event.CONNECTIONS_ACCEPTED, 2);
            byte[] bytes = frame instanceof byte[] plain ? plain : ((Sealing) frame).with(frames);
            raw.writeBytes(bytes);
            assertEquals(-1, readOrReset(raw.mSocket), name);
        }
        awaitCount(Event.BAD_FRAMES, 1);
        peerStillWorks();
    }

    @Test
    void unknownMessageIsSkipped() throws Exception {
        mPeer.send(mDaemon.host(), TextMessage.UNKNOWN);
        peerStillWorks();
        assertEquals(1, mDaemon.count(Event.MESSAGES_SKIPPED));
    }

    private void peerStillWorks() throws InterruptedException {
        mPeer.send(mDaemon.host(), "still");
        assertEquals("a: still", mDaemon.next());
        assertEquals(1, mPeer.count(Event.CONNECTIONS_OPENED));
    }

    private void awaitCount(Event event, long count) throws InterruptedException {
        Await.until(() -> mDaemon.count(event) >= count, event + " " + count);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mDaemon.port());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private static int readOrReset(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read();
        } catch (java.net.SocketException e) {
            return -1;
        }
    }

    private static Handshake hello(PeerKeys keys, String from, String to) {
        return Handshake.open(
                keys, TestPeer.host(from), TestPeer.host(to), new SplittableRandom(1));
    }

    private static byte[] framed(byte[] frame) {
        return ByteBuffer.allocate(4 + frame.length).putInt(frame.length).put(frame).array();
    }

    /** Peer that speaks the protocol byte by byte. */
    private static final class RawPeer implements AutoCloseable {
        private final Socket mSocket;
        private final DataInputStream mIn;
        private final DataOutputStream mOut;

        RawPeer(Socket socket) throws IOException {
            mSocket = socket;
            mIn = new DataInputStream(socket.getInputStream());
            mOut = new DataOutputStream(socket.getOutputStream());
        }

        SealedFrames authenticate(Handshake opener) throws IOException {
            write(opener.helloFrame());
            write(opener.proofFrame(read()));
            return opener.fromOpener();
        }

        void write(byte[] frame) throws IOException {
            writeBytes(framed(frame));
        }

        void writeBytes(byte[] bytes) throws IOException {
            mOut.write(bytes);
            mOut.flush();
        }

        byte[] read() throws IOException {
            return mIn.readNBytes(mIn.readInt());
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
        }
    }
}
