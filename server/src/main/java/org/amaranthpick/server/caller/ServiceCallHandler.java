package org.amaranthpick.server.caller;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.ServiceSpec;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.request.RefusalReason;
import org.amaranthpick.core.request.Router;
import org.amaranthpick.core.request.ServiceRequest;
import org.amaranthpick.core.upstream.ServiceCall;

/** Routes calls of plain services: {@code /services/NAME/path}. */
final class ServiceCallHandler implements HttpHandler {
    static final String PREFIX = "/services/";

    private static final Set<String> PASSED_HEADERS =
            Set.of("accept", "accept-language", "content-type", "if-match", "if-none-match");

    private final CallerContext mContext;
    private final Router mRouter;

    ServiceCallHandler(CallerContext context, Router router) {
        mContext = context;
        mRouter = router;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String requestId = mContext.ids().next();
        mContext.admit(
                exchange,
                requestId,
                mRouter.requestsInProgress(),
                (configuration, workspace) ->
                        mContext.bodies()
                                .read(
                                        exchange,
                                        body ->
                                                submit(
                                                        exchange,
                                                        requestId,
                                                        configuration,
                                                        workspace,
                                                        body),
                                        fault -> mContext.refuse(exchange, requestId, fault)));
    }

    private void submit(
            HttpServerExchange exchange,
            String requestId,
            Configuration configuration,
            WorkspaceSpec workspace,
            byte[] body) {
        try {
            String rest = exchange.getRequestPath().substring(PREFIX.length());
            int slash = rest.indexOf('/');
            String name = slash < 0 ? rest : rest.substring(0, slash);
            String path = slash < 0 ? "/" : rest.substring(slash);
            ServiceSpec service = service(configuration, workspace, name);
            CallOptions options = CallOptions.read(exchange, mContext.scheduler());
            String method = exchange.getRequestMethod().toString();
            boolean idempotent = !options.nonIdempotent() && !service.isNonIdempotent(method, path);
            ServiceRequest request =
                    new ServiceRequest(
                            configuration,
                            workspace,
                            service,
                            call(exchange, requestId, workspace, method, path, body),
                            options.priority(),
                            options.deadline(),
                            idempotent,
                            options.idempotencyKey());
            CallerWatch watch = CallerWatch.start(exchange);
            watch.attach(mRouter.submit(request, new ServiceAnswer(exchange, requestId)));
        } catch (FaultException e) {
            mContext.refuse(exchange, requestId, e.fault());
        }
    }

    private static ServiceCall call(
            HttpServerExchange exchange,
            String requestId,
            WorkspaceSpec workspace,
            String method,
            String path,
            byte[] body) {
        String query = exchange.getQueryString();
        String target = query.isEmpty() ? path : path + "?" + query;
        return new ServiceCall(
                requestId, workspace.id(), method, target, passedHeaders(exchange), body);
    }

    private static Map<String, String> passedHeaders(HttpServerExchange exchange) {
        HeaderMap headers = exchange.getRequestHeaders();
        Map<String, String> passed = new LinkedHashMap<>();
        for (HttpString name : headers.getHeaderNames()) {
            HeaderValues values = headers.get(name);
            if (PASSED_HEADERS.contains(name.toString().toLowerCase(Locale.ROOT))) {
                passed.put(name.toString(), values.getFirst());
            }
        }
        String key = headers.getFirst(CallerHeaders.IDEMPOTENCY_KEY);
        if (key != null) {
            passed.put(CallerHeaders.IDEMPOTENCY_KEY.toString(), key);
        }
        passed.putIfAbsent(Headers.ACCEPT.toString(), "*/*");
        return passed;
    }

    private static ServiceSpec service(
            Configuration configuration, WorkspaceSpec workspace, String name)
            throws FaultException {
        return WorkspaceLookup.find(
                workspace,
                ResourceKind.SERVICE,
                name,
                workspace.services(),
                configuration::service,
                unknownService());
    }

    private static RequestFault unknownService() {
        return new RequestFault(
                404,
                RefusalReason.UNKNOWN_MODEL,
                "the workspace has no such service",
                "check the service's name in the manifest");
    }
}
