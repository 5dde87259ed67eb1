package org.amaranthpick.server.caller;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

/** Reads the JSON body of a model call. */
final class ModelCallReader {
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_DEPTH = 32;

    private static final JsonMapper MAPPER =
            JsonMapper.builder(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_DEPTH)
                                                    .build())
                                    .build())
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(JsonParser.Feature.AUTO_CLOSE_SOURCE)
                    .build();

    private final int mMaxAnswerTokens;

    ModelCallReader(int maxAnswerTokens) {
        mMaxAnswerTokens = maxAnswerTokens;
    }

    ModelCall read(byte[] body, boolean chat) throws FaultException {
        JsonNode root = parse(decode(body));
        if (!root.isObject()) {
            throw FaultException.badRequest("the body is not a JSON object", "send an object");
        }
        String model = text(root, "model");
        String prompt = chat ? chatPrompt(root) : text(root, "prompt");
        return new ModelCall(model, prompt, maxTokens(root), stream(root), chat);
    }

    private static String decode(byte[] body) throws FaultException {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPORT)
                    .decode(ByteBuffer.wrap(body))
                    .toString();
        } catch (CharacterCodingException e) {
            throw FaultException.badRequest("the body is not valid UTF-8", "send UTF-8");
        }
    }

    private static JsonNode parse(String text) throws FaultException {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            String where =
                    e.getLocation() == null
                            ? ""
                            : " at line "
                                    + e.getLocation().getLineNr()
                                    + ", column "
                                    + e.getLocation().getColumnNr();
            throw FaultException.badRequest(
                    "the body is not valid JSON" + where, "send one JSON object");
        }
    }

    private static String chatPrompt(JsonNode root) throws FaultException {
        JsonNode messages = root.get("messages");
        if (messages == null || !messages.isArray() || messages.isEmpty()) {
            throw FaultException.badRequest(
                    "\"messages\" is missing or empty", "send a list of messages");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            prompt.append(text(message, "role"))
                    .append(": ")
                    .append(text(message, "content"))
                    .append('\n');
        }
        return prompt.toString();
    }

    private static String text(JsonNode node, String field) throws FaultException {
        JsonNode value = node.get(field);
        if (value == null || !value.isTextual() || value.textValue().isEmpty()) {
            throw FaultException.badRequest(
                    "\"" + field + "\" is missing or not a text", "send it as a text");
        }
        return value.textValue();
    }

    private int maxTokens(JsonNode root) throws FaultException {
        JsonNode value = root.path("max_completion_tokens");
        if (value.isMissingNode()) {
            value = root.path("max_tokens");
        }
        if (value.isMissingNode() || value.isNull()) {
            return Math.min(DEFAULT_MAX_TOKENS, mMaxAnswerTokens);
        }
        boolean whole = value.isIntegralNumber() && value.canConvertToInt();
        if (!whole || value.intValue() < 1 || value.intValue() > mMaxAnswerTokens) {
            throw FaultException.badRequest(
                    "\"max_tokens\" is not a whole number from 1 to " + mMaxAnswerTokens,
                    "send a number in this range or leave it out");
        }
        return value.intValue();
    }

    private static boolean stream(JsonNode root) throws FaultException {
        JsonNode value = root.path("stream");
        if (value.isMissingNode() || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw FaultException.badRequest("\"stream\" is not a boolean", "send true or false");
        }
        return value.booleanValue();
    }
}
