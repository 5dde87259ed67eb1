package org.amaranthpick.server.caller;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import org.amaranthpick.core.request.Outcome;

/** Writes answers in the de facto shapes of chat completions and completions. */
final class AnswerFormat {
    private static final JsonMapper MAPPER = new JsonMapper();

    private final String mRequestId;
    private final ModelCall mCall;
    private final long mCreatedSeconds;

    AnswerFormat(String requestId, ModelCall call, Instant created) {
        mRequestId = requestId;
        mCall = call;
        mCreatedSeconds = created.getEpochSecond();
    }

    String whole(String text, String finishReason, int promptTokens, int tokens) {
        ObjectNode root = root(mCall.chat() ? "chat.completion" : "text_completion");
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        if (mCall.chat()) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason);
        usage(root, promptTokens, tokens);
        return root.toString();
    }

    String chunk(String text) {
        ObjectNode root = root(mCall.chat() ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        if (mCall.chat()) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.putNull("finish_reason");
        return event(root.toString());
    }

    String lastChunk(Outcome.Answered outcome) {
        return end(outcome.finishReason(), outcome.promptTokens(), outcome.tokens());
    }

    String replayedChunks(Outcome.Replayed outcome) {
        return chunk(outcome.text()) + end(outcome.finishReason(), 0, 0);
    }

    String errorEvent(String errorBody) {
        return event(errorBody);
    }

    private String end(String finishReason, int promptTokens, int tokens) {
        ObjectNode root = root(mCall.chat() ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        if (mCall.chat()) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finishReason);
        usage(root, promptTokens, tokens);
        root.put("outcome", OutcomeLabel.ANSWERED);
        return event(root.toString()) + event("[DONE]");
    }

    private ObjectNode root(String object) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("id", mRequestId);
        root.put("object", object);
        root.put("created", mCreatedSeconds);
        root.put("model", mCall.model());
        return root;
    }

    private static void usage(ObjectNode root, int promptTokens, int tokens) {
        ObjectNode usage = root.putObject("usage");
        usage.put("prompt_tokens", promptTokens);
        usage.put("completion_tokens", tokens);
        usage.put("total_tokens", promptTokens + tokens);
    }

    private static String event(String data) {
        return "data: " + data + "\n\n";
    }
}
