package org.amaranthpick.server.gateway;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.xnio.XnioWorker;

/**
 * Opens the HTTP listeners of a gateway. What a caller may send is bounded by the configuration,
 * which changes while a listener is open; the listener's own limits only protect the daemon and are
 * far above any configuration. A handler sets the limit of each body that it reads.
 */
final class GatewayListeners implements AutoCloseable {
    private static final long BOUNDED_BY_HANDLERS = -1;
    private static final int MAX_HEAD_BYTES = 1024 * 1024;

    /** Most headers and query parameters that a head of the usual limit of 16 KB can hold. */
    private static final int MAX_HEADERS = 8192;

    /** Time after which an idle connection is closed. */
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);

    private static final Duration HEADER_TIMEOUT = Duration.ofSeconds(60);

    private final XnioWorker mWorker;
    private final List<Undertow> mStarted = new ArrayList<>();

    GatewayListeners(XnioWorker worker) {
        mWorker = worker;
    }

    void start(URI address, HttpHandler handler) {
        Undertow listener =
                Undertow.builder()
                        .setWorker(mWorker)
                        .addHttpListener(address.getPort(), address.getHost())
                        .setServerOption(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT,
                                (int) HEADER_TIMEOUT.toMillis())
                        .setServerOption(
                                UndertowOptions.NO_REQUEST_TIMEOUT, (int) IDLE_TIMEOUT.toMillis())
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, BOUNDED_BY_HANDLERS)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                        .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                        .setServerOption(UndertowOptions.MAX_PARAMETERS, MAX_HEADERS)
                        .setServerOption(UndertowOptions.MAX_COOKIES, MAX_HEADERS)
                        // Targets are passed on as they came; octets need not be UTF-8.
                        .setServerOption(UndertowOptions.DECODE_URL, false)
                        .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setHandler(handler)
                        .build();
        listener.start();
        mStarted.add(listener);
    }

    @Override
    public void close() {
        mStarted.forEach(Undertow::stop);
    }
}
