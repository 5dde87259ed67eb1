package org.amaranthpick.server.gateway;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.xnio.XnioWorker;

/** Opens the HTTP listeners of a gateway. */
final class GatewayListeners implements AutoCloseable {
    /** Time after which an idle connection is closed. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private static final Duration HEADER_TIMEOUT = Duration.ofSeconds(10);

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
