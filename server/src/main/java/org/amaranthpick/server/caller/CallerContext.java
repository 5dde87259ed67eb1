package org.amaranthpick.server.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.request.Outcome;
import org.amaranthpick.core.request.RefusalReason;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.server.http.ExchangeThread;

/** What all caller handlers share: configuration, ids, bounds, and the checks before a body. */
final class CallerContext {
    private static final Duration RETRY_AFTER_BUSY = Duration.ofSeconds(1);

    private final ConfigurationView mConfiguration;
    private final RequestIds mIds;
    private final CallerLimits mLimits;
    private final Scheduler mScheduler;
    private final BodyReader mBodies;

    CallerContext(
            ConfigurationView configuration,
            RequestIds ids,
            CallerLimits limits,
            Scheduler scheduler) {
        mConfiguration = configuration;
        mIds = ids;
        mLimits = limits;
        mScheduler = scheduler;
        mBodies = new BodyReader(limits.maxBodyBytes(), limits.bodyTimeout(), scheduler);
    }

    RequestIds ids() {
        return mIds;
    }

    CallerLimits limits() {
        return mLimits;
    }

    Scheduler scheduler() {
        return mScheduler;
    }

    BodyReader bodies() {
        return mBodies;
    }

    /**
     * Checks configuration, credential and open requests, then goes on outside the handler call.
     *
     * @param exchange the request
     * @param requestId id of the request
     * @param requestsInProgress requests in progress
     * @param then takes the pinned configuration and the workspace
     */
    void admit(
            HttpServerExchange exchange,
            String requestId,
            int requestsInProgress,
            BiConsumer<Configuration, WorkspaceSpec> then) {
        exchange.setMaxEntitySize(mLimits.maxBodyBytes());
        exchange.dispatch(
                ExchangeThread.of(exchange),
                () -> admitNow(exchange, requestId, requestsInProgress, then));
    }

    private void admitNow(
            HttpServerExchange exchange,
            String requestId,
            int requestsInProgress,
            BiConsumer<Configuration, WorkspaceSpec> then) {
        Optional<Configuration> configuration = mConfiguration.current();
        if (configuration.isEmpty()) {
            busy(exchange, requestId, "no configuration is in force yet");
            return;
        }
        Optional<WorkspaceSpec> workspace =
                CallerAuthenticator.authenticate(exchange, configuration.get());
        if (workspace.isEmpty()) {
            exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
            refuse(exchange, requestId, unauthorized());
            return;
        }
        if (requestsInProgress >= mLimits.maxOpenRequests()) {
            busy(exchange, requestId, "too many requests are in progress on this host");
            return;
        }
        then.accept(configuration.get(), workspace.get());
    }

    void refuse(HttpServerExchange exchange, String requestId, RequestFault fault) {
        if (!exchange.isRequestComplete()) {
            exchange.setPersistent(false);
        }
        ResponseWriter.notRun(exchange, requestId, fault.status(), fault.outcome());
    }

    private static void busy(HttpServerExchange exchange, String requestId, String message) {
        Outcome.NotRun outcome =
                new Outcome.NotRun(
                        RefusalReason.NO_CAPACITY,
                        message,
                        "try again later",
                        Optional.of(RETRY_AFTER_BUSY));
        ResponseWriter.notRun(exchange, requestId, outcome);
    }

    private static RequestFault unauthorized() {
        return new RequestFault(
                401,
                RefusalReason.BAD_REQUEST,
                "the credential is missing or unknown",
                "send one Authorization header with the workspace's bearer credential");
    }
}
