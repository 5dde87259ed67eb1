package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP listeners of a gateway and the connections that they accept. What a caller may send is
 * bounded by the configuration, which changes while a listener is open; the listener's own limits
 * only protect the daemon and are far above any configuration. A handler sets the limit of each
 * body that it reads.
 */
final class GatewayListeners implements AutoCloseable {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final long BOUNDED_BY_HANDLERS = -1;
    private static final int MAX_HEAD_BYTES = 1024 * 1024;

    /** Most headers and query parameters that a head of the usual limit of 16 KB can hold. */
    private static final int MAX_HEADERS = 8192;

    /** Time after which an idle connection is closed. */
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);

    private static final Duration HEADER_TIMEOUT = Duration.ofSeconds(60);
    private static final int BACKLOG = 1000;

    /** Heap above which buffers are large, as Undertow's own listeners have it. */
    private static final long LARGE_HEAP_BYTES = 128L * 1024 * 1024;

    private static final int BUFFER_BYTES = 1024;
    private static final int LARGE_BUFFER_BYTES = 16 * 1024 - 20;
    private static final int UNBOUNDED = -1;
    private static final int BUFFERS_OF_THREAD = 4;

    private static final OptionMap SOCKET_OPTIONS =
            OptionMap.builder()
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.REUSE_ADDRESSES, true)
                    .set(Options.BALANCING_TOKENS, 1)
                    .set(Options.BALANCING_CONNECTIONS, 2)
                    .set(Options.BACKLOG, BACKLOG)
                    .getMap();

    private static final OptionMap HTTP_OPTIONS =
            OptionMap.builder()
                    .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                    .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) HEADER_TIMEOUT.toMillis())
                    .set(UndertowOptions.NO_REQUEST_TIMEOUT, (int) IDLE_TIMEOUT.toMillis())
                    .set(UndertowOptions.MAX_ENTITY_SIZE, BOUNDED_BY_HANDLERS)
                    .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                    .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                    .set(UndertowOptions.MAX_PARAMETERS, MAX_HEADERS)
                    .set(UndertowOptions.MAX_COOKIES, MAX_HEADERS)
                    // Targets are passed on as they came; octets need not be UTF-8.
                    .set(UndertowOptions.DECODE_URL, false)
                    .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                    .set(UndertowOptions.ALWAYS_SET_DATE, false)
                    .getMap();

    private final XnioWorker mWorker;
    private final ByteBufferPool mBuffers;
    private final OpenConnections mConnections =
            new OpenConnections(HeadMemory.ofHeap(Runtime.getRuntime().maxMemory()));
    private final List<AcceptingChannel<StreamConnection>> mListening = new ArrayList<>();
    private boolean mClosed;

    GatewayListeners(XnioWorker worker) {
        mWorker = worker;
        boolean large = Runtime.getRuntime().maxMemory() >= LARGE_HEAP_BYTES;
        mBuffers =
                new DefaultByteBufferPool(
                        true,
                        large ? LARGE_BUFFER_BYTES : BUFFER_BYTES,
                        UNBOUNDED,
                        BUFFERS_OF_THREAD);
    }

    /** Opens a listener, unless all have been closed, as a stop signal during the start does. */
    synchronized void start(URI address, HttpHandler handler) {
        if (mClosed) {
            return;
        }
        HttpOpenListener opener = new HttpOpenListener(mBuffers, HTTP_OPTIONS);
        opener.setRootHandler(
                exchange -> {
                    mConnections.onRequest(exchange);
                    handler.handleRequest(exchange);
                });
        try {
            InetSocketAddress socketAddress =
                    new InetSocketAddress(
                            InetAddress.getByName(address.getHost()), address.getPort());
            AcceptingChannel<StreamConnection> listening =
                    mWorker.createStreamConnectionServer(
                            socketAddress, channel -> accept(channel, opener), SOCKET_OPTIONS);
            mListening.add(listening);
            listening.resumeAccepts();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + address, e);
        }
    }

    private void accept(AcceptingChannel<StreamConnection> listening, HttpOpenListener opener) {
        try {
            StreamConnection connection = listening.accept();
            if (connection != null) {
                mConnections.open(connection, opener);
            }
        } catch (ClosedChannelException e) {
            sLogger.atFine().log("listener: closed while a connection arrived");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the connections; for the I/O thread only. */
    OpenConnections connections() {
        return mConnections;
    }

    /** Stops to accept connections: further ones are refused. */
    synchronized void stopAccepting() {
        mClosed = true;
        mListening.forEach(IoUtils::safeClose);
        mListening.clear();
    }

    @Override
    public void close() {
        stopAccepting();
    }
}
