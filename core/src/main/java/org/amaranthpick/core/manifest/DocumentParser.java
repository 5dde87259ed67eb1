package org.amaranthpick.core.manifest;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;

/** Parses a JSON or YAML document and records the position of each value. */
final class DocumentParser {
    private static final int MAX_CODE_POINTS = 64_000_000;
    private static final int MAX_DEPTH = 40;
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final JsonFactory JSON = new JsonFactory();
    private static final JsonFactory YAML = yamlFactory();

    private final Map<String, ManifestDocument.Position> mPositions = new HashMap<>();
    private final List<ManifestFault> mFaults = new ArrayList<>();
    private JsonNode mRoot = NODES.missingNode();

    private DocumentParser() {}

    /** Parses a text; {@link #faults()} is empty if the text is one well-formed document. */
    static DocumentParser parse(String text) {
        DocumentParser parser = new DocumentParser();
        boolean json = text.stripLeading().startsWith("{");
        try (JsonParser source = (json ? JSON : YAML).createParser(text)) {
            parser.readDocument(source);
        } catch (JsonProcessingException e) {
            parser.addSyntaxFault(e.getLocation(), e.getOriginalMessage());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (NestingException e) {
            parser.addSyntaxFault(
                    e.mLocation, "values are nested more than " + MAX_DEPTH + " levels deep");
        }
        return parser;
    }

    ManifestDocument document() {
        return new ManifestDocument(mRoot, mPositions);
    }

    List<ManifestFault> faults() {
        return mFaults;
    }

    private void readDocument(JsonParser source) throws IOException {
        if (source.nextToken() == null) {
            addSyntaxFault(source.currentTokenLocation(), "the document is empty");
            return;
        }
        mRoot = readValue(source, "", 0);
        if (source.nextToken() != null) {
            addSyntaxFault(
                    source.currentTokenLocation(), "the text contains more than one document");
        }
    }

    private JsonNode readValue(JsonParser source, String pointer, int depth) throws IOException {
        JsonLocation location = source.currentTokenLocation();
        if (depth > MAX_DEPTH) {
            throw new NestingException(location);
        }
        mPositions.putIfAbsent(
                pointer,
                new ManifestDocument.Position(location.getLineNr(), location.getColumnNr()));
        if (source instanceof YAMLParser yaml && yaml.isCurrentAlias()) {
            addFault(pointer, "YAML aliases are not supported", "write the value out in full");
        }
        JsonToken token = source.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return readObject(source, pointer, depth);
        }
        if (token == JsonToken.START_ARRAY) {
            return readArray(source, pointer, depth);
        }
        return readScalar(source, token);
    }

    private ObjectNode readObject(JsonParser source, String pointer, int depth) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (source.nextToken() == JsonToken.FIELD_NAME) {
            String field = source.currentName();
            String childPointer = pointer + "/" + field.replace("~", "~0").replace("/", "~1");
            boolean duplicate = object.has(field);
            source.nextToken();
            JsonNode value = readValue(source, childPointer, depth + 1);
            if (duplicate) {
                addFault(
                        childPointer,
                        "key \"" + field + "\" is defined twice",
                        "remove one of the two");
            }
            object.set(field, value);
        }
        return object;
    }

    private ArrayNode readArray(JsonParser source, String pointer, int depth) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (source.nextToken() != JsonToken.END_ARRAY) {
            array.add(readValue(source, pointer + "/" + array.size(), depth + 1));
        }
        return array;
    }

    private static JsonNode readScalar(JsonParser source, JsonToken token) throws IOException {
        if (token == JsonToken.VALUE_NUMBER_INT) {
            return source.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                    ? NODES.numberNode(source.getBigIntegerValue())
                    : NODES.numberNode(source.getLongValue());
        }
        if (token == JsonToken.VALUE_NUMBER_FLOAT && Double.isFinite(source.getDoubleValue())) {
            return NODES.numberNode(source.getDoubleValue());
        }
        if (token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE) {
            return NODES.booleanNode(token == JsonToken.VALUE_TRUE);
        }
        return token == JsonToken.VALUE_NULL ? NODES.nullNode() : NODES.textNode(source.getText());
    }

    private void addFault(String pointer, String message, String remedy) {
        ManifestDocument.Position position = mPositions.get(pointer);
        mFaults.add(
                new ManifestFault(
                        position.line(),
                        position.column(),
                        pointer,
                        ManifestFault.Kind.SYNTAX,
                        message,
                        remedy));
    }

    private void addSyntaxFault(JsonLocation location, String message) {
        int line = location == null ? 1 : Math.max(1, location.getLineNr());
        int column = location == null ? 1 : Math.max(1, location.getColumnNr());
        mFaults.add(
                new ManifestFault(
                        line,
                        column,
                        "",
                        ManifestFault.Kind.SYNTAX,
                        message,
                        "provide one well-formed JSON or YAML document"));
    }

    private static JsonFactory yamlFactory() {
        LoaderOptions options = new LoaderOptions();
        options.setCodePointLimit(MAX_CODE_POINTS);
        return YAMLFactory.builder().loaderOptions(options).build();
    }

    /** Values are nested more than {@link #MAX_DEPTH} levels deep. */
    private static final class NestingException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private final transient JsonLocation mLocation;

        NestingException(JsonLocation location) {
            mLocation = location;
        }
    }
}
