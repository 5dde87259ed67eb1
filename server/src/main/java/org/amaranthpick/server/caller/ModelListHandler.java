package org.amaranthpick.server.caller;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.request.Router;

/** Lists the pipelines that a workspace may call. */
final class ModelListHandler implements HttpHandler {
    private static final JsonMapper MAPPER = new JsonMapper();

    private final CallerContext mContext;
    private final Router mRouter;

    ModelListHandler(CallerContext context, Router router) {
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
                        ResponseWriter.send(
                                exchange, requestId, 200, OutcomeLabel.ANSWERED, list(workspace)));
    }

    private static String list(WorkspaceSpec workspace) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("object", "list");
        ArrayNode data = root.putArray("data");
        for (Identity pipeline : workspace.pipelines()) {
            boolean own = pipeline.fleet().equals(workspace.id().fleet());
            ObjectNode model = data.addObject();
            model.put("id", own ? pipeline.name() : pipeline.qualifiedName());
            model.put("object", "model");
            model.put("owned_by", pipeline.fleet());
        }
        return root.toString();
    }
}
