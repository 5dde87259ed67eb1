package org.amaranthpick.server.peer;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerHandler;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Scheduler;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Sends and receives peer messages over TCP. Each direction between two daemons has a connection of
 * its own, opened by the sender when it first has something to send.
 */
public final class PeerTransport implements PeerNetwork, AutoCloseable {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Connections that may wait to be accepted: all daemons may open theirs at once. */
    private static final int BACKLOG = 1024;

    private static final OptionMap ACCEPT_OPTIONS =
            OptionMap.builder()
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.REUSE_ADDRESSES, true)
                    .set(Options.BACKLOG, BACKLOG)
                    .getMap();

    private final PeerContext mContext;
    private final FrameCodec mCodec;
    private final XnioWorker mWorker;
    private final AcceptingChannel<StreamConnection> mAcceptor;
    private final Map<Integer, PeerHandler> mHandlers = new ConcurrentHashMap<>();
    private final Map<Identity, PeerLink> mLinks = new ConcurrentHashMap<>();
    private final Map<Identity, IncomingConnection> mIncoming = new ConcurrentHashMap<>();
    private final Strangers mStrangers;
    private volatile boolean mClosed;

    /**
     * Parts that a transport is made of.
     *
     * @param self host of this daemon
     * @param listen address to listen on; port 0 takes a free one
     * @param keys shared keys
     * @param addresses finds the address of a peer
     * @param codec writes and reads messages
     * @param worker gives the I/O threads; stays the caller's to shut down
     * @param scheduler clock and timers
     * @param random random source of nonces and jitter; unpredictable in a daemon
     * @param settings bounds
     */
    public record Parts(
            Identity self,
            InetSocketAddress listen,
            PeerKeys keys,
            Function<Identity, Optional<PeerAddress>> addresses,
            FrameCodec codec,
            XnioWorker worker,
            Scheduler scheduler,
            RandomGenerator random,
            PeerSettings settings) {}

    /**
     * Starts to listen. Messages are taken once handlers are registered.
     *
     * @param parts parts
     * @throws IOException if the address cannot be listened on
     */
    public PeerTransport(Parts parts) throws IOException {
        mCodec = parts.codec();
        mWorker = parts.worker();
        mContext =
                new PeerContext(
                        parts.self(),
                        parts.keys(),
                        parts.addresses(),
                        parts.scheduler(),
                        parts.random(),
                        parts.settings(),
                        new PeerCounters(),
                        this::onPayload);
        mStrangers = new Strangers(parts.settings().maxStrangers());
        mAcceptor =
                mWorker.createStreamConnectionServer(
                        parts.listen(), this::onAcceptable, ACCEPT_OPTIONS);
        mAcceptor.resumeAccepts();
    }

    @Override
    public void send(Identity to, PeerMessage message) {
        if (mClosed) {
            return;
        }
        byte[] payload = mCodec.encode(message);
        if (to.equals(mContext.self())) {
            Tasks.run(mWorker.getIoThread(), () -> deliver(to, message));
            return;
        }
        mLinks.computeIfAbsent(to, this::link).send(payload);
    }

    @Override
    public void handle(int tag, PeerHandler handler) {
        if (mHandlers.putIfAbsent(tag, handler) != null) {
            throw new IllegalStateException(
                    "peer message tag " + tag + " has a handler already; register one only");
        }
    }

    /**
     * Returns the address listened on.
     *
     * @return address with the true port
     */
    public InetSocketAddress address() {
        return mAcceptor.getLocalAddress(InetSocketAddress.class);
    }

    /**
     * Counts the peers that are or were lately sent to.
     *
     * @return number of links
     */
    public int links() {
        return mLinks.size();
    }

    /**
     * Returns the counters.
     *
     * @return live counters
     */
    public PeerCounters counters() {
        return mContext.counters();
    }

    /**
     * Closes and forgets the link to a peer that left the membership.
     *
     * @param peer host of the peer
     */
    public void forget(Identity peer) {
        PeerLink link = mLinks.remove(peer);
        if (link != null) {
            link.close();
        }
    }

    @Override
    public void close() {
        mClosed = true;
        IoUtils.safeClose(mAcceptor);
        mLinks.values().forEach(PeerLink::close);
        mIncoming.values().forEach(connection -> connection.close("this daemon stops"));
        mStrangers.all().forEach(connection -> connection.close("this daemon stops"));
    }

    private PeerLink link(Identity peer) {
        return new PeerLink(
                mContext, peer, mWorker.getIoThread(), idle -> mLinks.remove(peer, idle));
    }

    private void onAcceptable(AcceptingChannel<StreamConnection> acceptor) {
        try {
            for (StreamConnection c = acceptor.accept(); c != null; c = acceptor.accept()) {
                onAccepted(c);
            }
        } catch (IOException e) {
            sLogger.atWarning().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log(
                    "peer: a connection could not be accepted");
        }
    }

    /** A stranger holds one of few places, for a bounded time, and a buffer of bounded size. */
    private void onAccepted(StreamConnection connection) {
        if (mClosed) {
            IoUtils.safeClose(connection);
            return;
        }
        IncomingConnection incoming =
                new IncomingConnection(mContext, connection, new IncomingRegistry());
        mStrangers.add(incoming).ifPresent(oldest -> oldest.close("too many strangers"));
        Tasks.run(connection.getIoThread(), incoming::start);
    }

    private void onPayload(Identity from, byte[] payload) throws IOException {
        Optional<PeerMessage> message = mCodec.decode(payload);
        if (message.isPresent()) {
            deliver(from, message.get());
        } else {
            mContext.counters().count(PeerCounters.Event.MESSAGES_SKIPPED);
        }
    }

    private void deliver(Identity from, PeerMessage message) {
        PeerHandler handler = mHandlers.get(message.tag());
        if (handler == null) {
            mContext.counters().count(PeerCounters.Event.MESSAGES_SKIPPED);
            return;
        }
        try {
            handler.onMessage(from, message);
        } catch (RuntimeException e) {
            sLogger.atSevere().withCause(e).log(
                    "peer: handler of tag %d failed on a message of %s", message.tag(), from);
        }
    }

    /** Follows one incoming connection from stranger to peer. */
    private final class IncomingRegistry implements IncomingConnection.Registry {
        @Override
        public void onAuthenticated(IncomingConnection connection, Identity from) {
            mStrangers.remove(connection);
            IncomingConnection older = mIncoming.put(from, connection);
            if (older != null) {
                older.close("the peer opened a newer connection");
            }
        }

        @Override
        public void onClosed(IncomingConnection connection, Optional<Identity> from) {
            if (from.isPresent()) {
                mIncoming.remove(from.get(), connection);
            } else {
                mStrangers.remove(connection);
            }
        }
    }
}
