package org.amaranthpick.server.caller;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.PipelineSpec;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.request.ModelRequest;
import org.amaranthpick.core.request.RefusalReason;
import org.amaranthpick.core.request.RequestHandle;
import org.amaranthpick.core.request.Router;

/** Answers chat completions and completions, whole and streamed. */
final class ModelCallHandler implements HttpHandler {
    private final CallerContext mContext;
    private final Router mRouter;
    private final boolean mChat;
    private final ModelCallReader mReader;

    ModelCallHandler(CallerContext context, Router router, boolean chat) {
        mContext = context;
        mRouter = router;
        mChat = chat;
        mReader = new ModelCallReader(context.limits().maxAnswerTokens());
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String requestId = mContext.ids().next();
        mContext.admit(
                exchange,
                requestId,
                mRouter.requestsInProgress(),
                (configuration, workspace) ->
                        readBody(exchange, requestId, configuration, workspace));
    }

    private void readBody(
            HttpServerExchange exchange,
            String requestId,
            Configuration configuration,
            WorkspaceSpec workspace) {
        mContext.bodies()
                .read(
                        exchange,
                        body -> submit(exchange, requestId, configuration, workspace, body),
                        fault -> mContext.refuse(exchange, requestId, fault));
    }

    private void submit(
            HttpServerExchange exchange,
            String requestId,
            Configuration configuration,
            WorkspaceSpec workspace,
            byte[] body) {
        try {
            ModelCall call = mReader.read(body, mChat);
            CallOptions options = CallOptions.read(exchange, mContext.scheduler());
            PipelineSpec pipeline = pipeline(configuration, workspace, call.model());
            ModelRequest request =
                    new ModelRequest(
                            requestId,
                            configuration,
                            workspace,
                            pipeline,
                            call.prompt(),
                            call.maxTokens(),
                            options.priority(),
                            options.deadline(),
                            !options.nonIdempotent(),
                            options.idempotencyKey());
            submit(exchange, request, call);
        } catch (FaultException e) {
            mContext.refuse(exchange, requestId, e.fault());
        }
    }

    private void submit(HttpServerExchange exchange, ModelRequest request, ModelCall call) {
        String requestId = request.requestId();
        AnswerFormat format = new AnswerFormat(requestId, call, mContext.scheduler().instant());
        CallerWatch watch = CallerWatch.start(exchange);
        RequestHandle handle;
        if (call.stream()) {
            StreamedAnswer answer =
                    new StreamedAnswer(
                            exchange, requestId, format, mContext.limits().maxBufferedTokens());
            handle = mRouter.submit(request, answer);
            answer.attach(handle);
        } else {
            handle = mRouter.submit(request, new WholeAnswer(exchange, requestId, format));
        }
        watch.attach(handle);
    }

    private static PipelineSpec pipeline(
            Configuration configuration, WorkspaceSpec workspace, String model)
            throws FaultException {
        return WorkspaceLookup.find(
                workspace,
                ResourceKind.PIPELINE,
                model,
                workspace.pipelines(),
                configuration::pipeline,
                unknownModel());
    }

    private static RequestFault unknownModel() {
        return new RequestFault(
                404,
                RefusalReason.UNKNOWN_MODEL,
                "the workspace has no such model",
                "ask GET /v1/models for the models of the workspace");
    }
}
