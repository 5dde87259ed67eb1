package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.amaranthpick.core.reach.RelayAdmission;
import org.amaranthpick.core.reach.RelayReply;
import org.amaranthpick.core.reach.RelayRequest;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.http.OpenedConnection;
import org.xnio.IoUtils;

/**
 * Relays requests of other daemons to registered upstreams. A daemon first asks for a connection;
 * the request that names it is sent over it, once. Confined to the I/O thread.
 */
final class RelayHandler implements HttpHandler {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Requests relayed at the same time; leaves descriptors and memory for own callers. */
    private static final int MAX_RELAYED = 256;

    /** Both connects together take less than another daemon waits for the reply. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(150);

    /** Time for which a connection waits for its request. */
    private static final Duration HOLD_TIME = Duration.ofSeconds(1);

    private static final int MAX_MESSAGE_BYTES = 4096;
    private static final int PATH_NAME_BYTES = 16;

    private final RelayContext mContext;
    private final HttpConnector mConnector;
    private final RelayAdmission mAdmission;
    private final SecureRandom mPathNames = new SecureRandom();
    private final Map<String, HeldConnection> mHeld = new HashMap<>();
    private final PendingResponses mOpen = new PendingResponses();
    private final Set<RelayedExchange> mRelayed = new HashSet<>();
    private final Set<HeldConnection> mReading = new HashSet<>();
    private int mOpening;
    private boolean mInterrupted;
    private boolean mLeaving;

    private record HeldConnection(
            UpstreamEntry upstream, OpenedConnection connection, Cancellable expiry) {}

    RelayHandler(RelayContext context, HttpConnector connector) {
        mContext = context;
        mConnector = connector;
        mAdmission = new RelayAdmission(context.paths(), MAX_RELAYED);
    }

    /** Refuses further paths; requests in progress go on. */
    void drain() {
        mLeaving = true;
    }

    /** Ends what is in progress, each with a result that the other daemon can rely on. */
    void interrupt() {
        mInterrupted = true;
        Set.copyOf(mHeld.keySet()).forEach(this::expire);
        Set.copyOf(mRelayed).forEach(RelayedExchange::interrupt);
    }

    /** Returns the number of requests and held connections whose responses are not written. */
    int openCount() {
        return mOpen.count() + mHeld.size();
    }

    /** Returns whether a request is to be relayed rather than handled here. */
    static boolean isRelayed(HttpServerExchange exchange) {
        return exchange.getRequestHeaders().contains(UpstreamConnector.PATH_HEADER);
    }

    /** Opens a connection for another daemon. */
    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (!isFromDaemon(exchange)) {
            refuseStranger(exchange);
            return;
        }
        mOpen.add(exchange);
        exchange.setMaxEntitySize(MAX_MESSAGE_BYTES);
        readBody(exchange, body -> open(exchange, body));
    }

    /** Sends a request over the connection that it names. */
    void relay(HttpServerExchange exchange) {
        if (!isFromDaemon(exchange)) {
            refuseStranger(exchange);
            return;
        }
        mOpen.add(exchange);
        String path = exchange.getRequestHeaders().getFirst(UpstreamConnector.PATH_HEADER);
        HeldConnection held = mHeld.remove(path);
        if (held == null) {
            endUnsent(exchange);
            return;
        }
        held.expiry().cancel();
        mReading.add(held);
        Executor steps = step -> run(step, () -> dropFailed(exchange, held));
        steps.execute(() -> readBody(exchange, held, steps));
    }

    private void readBody(HttpServerExchange exchange, HeldConnection held, Executor steps) {
        BodyReader.read(
                exchange,
                mContext.maxBodyBytes().getAsLong(),
                mContext.bodyMemory(),
                steps,
                new BodyReader.Listener() {
                    @Override
                    public void onBody(byte[] body) {
                        exchange.dispatch(mContext.scheduler(), () -> send(exchange, held, body));
                    }

                    @Override
                    public void onTooLarge() {
                        // The configuration of the other daemon may be newer than that here.
                        dropUnsent(exchange, held);
                    }

                    @Override
                    public void onNoMemory() {
                        dropUnsent(exchange, held);
                    }

                    @Override
                    public void onLost(IOException e) {
                        dropUnsent(exchange, held);
                    }
                });
    }

    private void send(HttpServerExchange exchange, HeldConnection held, byte[] body) {
        mReading.remove(held);
        if (mInterrupted) {
            dropUnsent(exchange, held);
            return;
        }
        RelayedExchange relayed =
                new RelayedExchange(exchange, held.upstream(), mContext, this::onEnded);
        mRelayed.add(relayed);
        relayed.start(mConnector, held.connection(), body);
    }

    private void dropUnsent(HttpServerExchange exchange, HeldConnection held) {
        mReading.remove(held);
        held.connection().close();
        endUnsent(exchange);
    }

    private void dropFailed(HttpServerExchange exchange, HeldConnection held) {
        if (exchange.isResponseStarted()) {
            IoUtils.safeClose(exchange.getConnection());
        } else {
            dropUnsent(exchange, held);
        }
    }

    /** Runs a step; if it fails, the other daemon is answered at once. */
    private void run(Runnable step, Runnable answer) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            mContext.scheduler().onTaskFailed("relay", e);
            answer.run();
        }
    }

    private static void endUnsent(HttpServerExchange exchange) {
        exchange.getResponseHeaders()
                .put(UpstreamConnector.RESULT_HEADER, UpstreamConnector.RESULT_NOT_SENT);
        end(exchange, StatusCodes.SERVICE_UNAVAILABLE);
    }

    private void onEnded(RelayedExchange exchange) {
        mRelayed.remove(exchange);
    }

    private boolean isFromDaemon(HttpServerExchange exchange) {
        return mContext.isDaemon().test(exchange.getSourceAddress().getAddress());
    }

    private static void refuseStranger(HttpServerExchange exchange) {
        sLogger.atWarning().log(
                "relay: refused, %s is not a registered daemon", exchange.getSourceAddress());
        end(exchange, StatusCodes.FORBIDDEN);
    }

    private static void end(HttpServerExchange exchange, int status) {
        exchange.setPersistent(false);
        exchange.setStatusCode(status);
        exchange.endExchange();
    }

    /** Receives the body of a message. */
    @FunctionalInterface
    private interface BodyReceiver {
        void receive(byte[] body) throws IOException;
    }

    private static void readBody(HttpServerExchange exchange, BodyReceiver receiver) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (read, body) -> {
                            try {
                                receiver.receive(body);
                            } catch (IOException | RuntimeException e) {
                                sLogger.atInfo().log(
                                        "relay: cannot read a message: %s", e.getMessage());
                                end(exchange, StatusCodes.BAD_REQUEST);
                            }
                        },
                        (failed, e) -> end(exchange, StatusCodes.BAD_REQUEST));
    }

    private void open(HttpServerExchange exchange, byte[] body) throws IOException {
        RelayRequest request = UpstreamConnector.readRequest(body);
        exchange.dispatch(
                mContext.scheduler(),
                () -> run(() -> open(exchange, request), () -> endFailed(exchange)));
    }

    private void open(HttpServerExchange exchange, RelayRequest request) {
        Optional<UpstreamEntry> upstream =
                mContext.register()
                        .findById(request.upstreamId())
                        .filter(entry -> mContext.admission().admits(entry, nowNs()));
        Optional<RelayReply.Status> refusal =
                mAdmission.refusal(
                        request.upstreamId(),
                        upstream.isPresent(),
                        mLeaving,
                        mReading.size() + mRelayed.size() + mHeld.size() + mOpening);
        if (refusal.isPresent()) {
            reply(exchange, RelayReply.refused(refusal.get()));
            return;
        }
        mOpening++;
        try {
            connect(
                    exchange,
                    upstream.get(),
                    connection -> {
                        mOpening--;
                        onConnected(exchange, request, upstream.get(), connection);
                    });
        } catch (RuntimeException | Error e) {
            mOpening--;
            throw e;
        }
    }

    private void onConnected(
            HttpServerExchange exchange,
            RelayRequest request,
            UpstreamEntry upstream,
            Optional<OpenedConnection> connection) {
        if (connection.isEmpty()) {
            findFault(exchange, upstream);
        } else if (request.check()) {
            connection.get().close();
            reply(exchange, new RelayReply(RelayReply.Status.OPENED, ""));
        } else {
            String path = hold(upstream, connection.get());
            reply(exchange, new RelayReply(RelayReply.Status.OPENED, path));
        }
    }

    /** Connects to an upstream that answered lately, to learn whether this daemon is cut off. */
    private void findFault(HttpServerExchange exchange, UpstreamEntry upstream) {
        Optional<UpstreamEntry> witness =
                mContext.paths()
                        .witnessFor(upstream.id())
                        .flatMap(id -> mContext.register().findById(id));
        if (witness.isEmpty()) {
            reply(exchange, fault(upstream, Optional.empty()));
            return;
        }
        connect(
                exchange,
                witness.get(),
                connection -> {
                    connection.ifPresent(OpenedConnection::close);
                    reply(exchange, fault(upstream, connection.map(c -> witness.get().id())));
                });
    }

    private RelayReply fault(UpstreamEntry upstream, Optional<String> reachedWitness) {
        return RelayReply.refused(mAdmission.onOpenFailed(upstream.id(), reachedWitness));
    }

    private static void endFailed(HttpServerExchange exchange) {
        if (exchange.isResponseStarted()) {
            IoUtils.safeClose(exchange.getConnection());
        } else {
            end(exchange, StatusCodes.INTERNAL_SERVER_ERROR);
        }
    }

    private void connect(
            HttpServerExchange exchange, UpstreamEntry upstream, ConnectionReceiver receiver) {
        mConnector.open(
                URI.create("http://" + upstream.address()),
                CONNECT_TIMEOUT,
                new OpenedConnection.Listener() {
                    @Override
                    public void onOpened(OpenedConnection connection) {
                        run(
                                () -> receiver.receive(Optional.of(connection)),
                                () -> {
                                    connection.close();
                                    endFailed(exchange);
                                });
                    }

                    @Override
                    public void onFailed(String reason) {
                        run(() -> receiver.receive(Optional.empty()), () -> endFailed(exchange));
                    }
                });
    }

    /** Receives a connection, empty if none could be opened. */
    @FunctionalInterface
    private interface ConnectionReceiver {
        void receive(Optional<OpenedConnection> connection);
    }

    private String hold(UpstreamEntry upstream, OpenedConnection connection) {
        byte[] name = new byte[PATH_NAME_BYTES];
        mPathNames.nextBytes(name);
        String path = HexFormat.of().formatHex(name);
        Cancellable expiry = mContext.scheduler().schedule(HOLD_TIME, () -> expire(path));
        mHeld.put(path, new HeldConnection(upstream, connection, expiry));
        return path;
    }

    private void expire(String path) {
        Optional.ofNullable(mHeld.remove(path)).ifPresent(held -> held.connection().close());
    }

    private void reply(HttpServerExchange exchange, RelayReply reply) {
        mContext.metrics().onRelayed(reply.status());
        if (reply.status() != RelayReply.Status.OPENED) {
            sLogger.atInfo().log(
                    "relay: refused for %s, status=%s",
                    exchange.getSourceAddress(), reply.status());
        }
        exchange.setStatusCode(StatusCodes.OK);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(UpstreamConnector.write(reply)));
    }

    private long nowNs() {
        return mContext.scheduler().monotonicNs();
    }
}
