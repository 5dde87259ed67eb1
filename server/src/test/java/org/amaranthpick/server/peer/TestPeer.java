package org.amaranthpick.server.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.time.Scheduler;
import org.xnio.XnioWorker;

/** One daemon's transport with the messages that it received. */
final class TestPeer implements AutoCloseable {
    private static final int WAIT_SECONDS = 30;

    private final Identity mHost;
    private final Map<Identity, PeerAddress> mAddresses = new ConcurrentHashMap<>();
    private final BlockingQueue<String> mReceived = new LinkedBlockingQueue<>();
    private final PeerTransport mTransport;

    TestPeer(
            String name,
            PeerKeys keys,
            PeerSettings settings,
            XnioWorker worker,
            Scheduler scheduler) {
        mHost = host(name);
        try {
            mTransport =
                    new PeerTransport(
                            new PeerTransport.Parts(
                                    mHost,
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                    keys,
                                    peer -> Optional.ofNullable(mAddresses.get(peer)),
                                    TextMessage.CODEC,
                                    worker,
                                    scheduler,
                                    new SecureRandom(),
                                    settings));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mTransport.handle(
                TextMessage.TAG,
                (from, message) ->
                        mReceived.add(from.name() + ": " + ((TextMessage) message).text()));
    }

    static Identity host(String name) {
        return new Identity("kenanga", ResourceKind.HOST, name);
    }

    Identity host() {
        return mHost;
    }

    int port() {
        return mTransport.address().getPort();
    }

    void knows(TestPeer other) {
        knows(other.host(), other.port());
    }

    void knows(Identity host, int port) {
        mAddresses.put(host, new PeerAddress("127.0.0.1", port));
    }

    void send(Identity to, String text) {
        mTransport.send(to, new TextMessage(text));
    }

    String next() throws InterruptedException {
        String message = mReceived.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        if (message == null) {
            throw new AssertionError("no message came");
        }
        return message;
    }

    /** Returns the next message if one comes within a short time. */
    Optional<String> poll() throws InterruptedException {
        return Optional.ofNullable(mReceived.poll(20, TimeUnit.MILLISECONDS));
    }

    long count(PeerCounters.Event event) {
        return mTransport.counters().get(event);
    }

    int links() {
        return mTransport.links();
    }

    @Override
    public void close() {
        mTransport.close();
    }
}
