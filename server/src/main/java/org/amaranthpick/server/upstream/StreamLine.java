package org.amaranthpick.server.upstream;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.manifest.LayerRange;

/** One parsed line of a token stream. Fields that the line lacks keep their defaults. */
final class StreamLine {
    static final String TOKEN = "token";
    static final String ALIVE = "alive";
    static final String FINISHED = "finished";
    static final String REFUSED = "refused";
    static final String STAGE_LOST = "stage_lost";

    private static final JsonFactory JSON = new JsonFactory();

    String mType = "";
    String mRequestId = "";
    int mAttempt;
    int mIndex = -1;
    String mText = "";
    List<LayerRange> mTrace = List.of();
    String mUpstream = "";
    String mReason = "";
    int mTokens = -1;
    long mRetryAfterMs = -1;

    private StreamLine() {}

    /**
     * Parses one line. Unknown fields are skipped.
     *
     * @throws IOException if the line is no JSON object or a field has the wrong type
     */
    static StreamLine parse(byte[] bytes, int offset, int length) throws IOException {
        StreamLine line = new StreamLine();
        try (JsonParser json = JSON.createParser(bytes, offset, length)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("a line is no JSON object");
            }
            for (String field = json.nextFieldName(); field != null; field = json.nextFieldName()) {
                json.nextToken();
                line.read(field, json);
            }
            if (json.currentToken() != JsonToken.END_OBJECT) {
                throw new IOException("a line is cut off");
            }
        }
        return line;
    }

    private void read(String field, JsonParser json) throws IOException {
        switch (field) {
            case "type" -> mType = text(json);
            case "request" -> mRequestId = text(json);
            case "attempt" -> mAttempt = json.getIntValue();
            case "index" -> mIndex = json.getIntValue();
            case "text" -> mText = text(json);
            case "trace" -> mTrace = readTrace(json);
            case "upstream" -> mUpstream = text(json);
            case "reason" -> mReason = text(json);
            case "tokens" -> mTokens = json.getIntValue();
            case "retry_after_ms" -> mRetryAfterMs = json.getLongValue();
            default -> json.skipChildren();
        }
    }

    private static String text(JsonParser json) throws IOException {
        if (json.currentToken() != JsonToken.VALUE_STRING) {
            throw new IOException("field " + json.currentName() + " is no text");
        }
        return json.getText();
    }

    private static List<LayerRange> readTrace(JsonParser json) throws IOException {
        expect(json.currentToken(), JsonToken.START_ARRAY);
        List<LayerRange> trace = new ArrayList<>();
        while (json.nextToken() == JsonToken.START_ARRAY) {
            trace.add(readRange(json));
        }
        expect(json.currentToken(), JsonToken.END_ARRAY);
        return trace;
    }

    private static LayerRange readRange(JsonParser json) throws IOException {
        int from = json.nextIntValue(-1);
        int to = json.nextIntValue(-1);
        expect(json.nextToken(), JsonToken.END_ARRAY);
        try {
            return new LayerRange(from, to);
        } catch (IllegalArgumentException e) {
            throw new IOException(e);
        }
    }

    private static void expect(JsonToken found, JsonToken wanted) throws IOException {
        if (found != wanted) {
            throw new IOException("field trace is malformed");
        }
    }
}
