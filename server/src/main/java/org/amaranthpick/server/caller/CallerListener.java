package org.amaranthpick.server.caller;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.request.RefusalReason;
import org.amaranthpick.core.request.Router;
import org.amaranthpick.core.time.Scheduler;
import org.xnio.XnioWorker;

/** Listener of callers. */
public final class CallerListener implements AutoCloseable {
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(2);
    private static final Duration HEADER_TIMEOUT = Duration.ofSeconds(10);

    /** The listener answers a body over its own bound without an outcome; handlers set theirs. */
    private static final long BOUNDED_PER_REQUEST = -1;

    private final Undertow mServer;

    /**
     * Starts the listener.
     *
     * @param address address to listen on by IP number; port 0 takes a free one
     * @param worker threads
     * @param configuration configuration in force
     * @param router takes the requests
     * @param ids source of request ids
     * @param limits bounds
     * @param scheduler clock and timers
     */
    public CallerListener(
            InetSocketAddress address,
            XnioWorker worker,
            ConfigurationView configuration,
            Router router,
            RequestIds ids,
            CallerLimits limits,
            Scheduler scheduler) {
        CallerContext context = new CallerContext(configuration, ids, limits, scheduler);
        mServer =
                Undertow.builder()
                        .setWorker(worker)
                        .addHttpListener(address.getPort(), address.getAddress().getHostAddress())
                        .setServerOption(UndertowOptions.MAX_HEADERS, limits.maxHeaders())
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes())
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, BOUNDED_PER_REQUEST)
                        .setServerOption(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT,
                                (int) HEADER_TIMEOUT.toMillis())
                        .setServerOption(
                                UndertowOptions.NO_REQUEST_TIMEOUT, (int) IDLE_TIMEOUT.toMillis())
                        .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                        .setHandler(routes(context, router))
                        .build();
        mServer.start();
    }

    /**
     * Returns the address listened on.
     *
     * @return bound address
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
    }

    @Override
    public void close() {
        mServer.stop();
    }

    private static HttpHandler routes(CallerContext context, Router router) {
        PathHandler paths = new PathHandler(exchange -> notFound(context, exchange));
        paths.addExactPath(
                "/v1/chat/completions", post(context, new ModelCallHandler(context, router, true)));
        paths.addExactPath(
                "/v1/completions", post(context, new ModelCallHandler(context, router, false)));
        paths.addExactPath("/v1/models", new ModelListHandler(context, router));
        paths.addPrefixPath("/services", new ServiceCallHandler(context, router));
        return paths;
    }

    private static HttpHandler post(CallerContext context, HttpHandler next) {
        return exchange -> {
            if (exchange.getRequestMethod().equals(Methods.POST)) {
                next.handleRequest(exchange);
                return;
            }
            RequestFault fault =
                    new RequestFault(
                            StatusCodes.METHOD_NOT_ALLOWED,
                            RefusalReason.BAD_REQUEST,
                            "this path takes POST only",
                            "send a POST request");
            context.refuse(exchange, context.ids().next(), fault);
        };
    }

    private static void notFound(CallerContext context, HttpServerExchange exchange) {
        RequestFault fault =
                new RequestFault(
                        StatusCodes.NOT_FOUND,
                        RefusalReason.BAD_REQUEST,
                        "there is no such path",
                        "see /v1/chat/completions, /v1/completions, /v1/models and"
                                + " /services/NAME/");
        context.refuse(exchange, context.ids().next(), fault);
    }
}
