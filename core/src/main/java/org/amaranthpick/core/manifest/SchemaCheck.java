package org.amaranthpick.core.manifest;

import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Checks a document against the published JSON Schema. */
final class SchemaCheck {
    private static final String RESOURCE = "manifest.schema.json";
    private static final Schema SCHEMA = load();
    private static final Map<String, String> REMEDIES =
            Map.ofEntries(
                    Map.entry("required", "add the property"),
                    Map.entry("additionalProperties", "remove it or correct its spelling"),
                    Map.entry("type", "give a value of the type asked for"),
                    Map.entry("enum", "give one of the values listed"),
                    Map.entry("pattern", "give a value of the form asked for"),
                    Map.entry("minimum", "give a larger number"),
                    Map.entry("exclusiveMinimum", "give a larger number"),
                    Map.entry("maximum", "give a smaller number"),
                    Map.entry("minLength", "give a longer text"),
                    Map.entry("maxLength", "give a shorter text"),
                    Map.entry("minItems", "add entries"),
                    Map.entry("maxItems", "remove entries"));

    private SchemaCheck() {}

    /** Adds every fault that the schema finds. */
    static void check(ManifestDocument document, FaultList faults) {
        for (Error error : SCHEMA.validate(document.root())) {
            String pointer = error.getInstanceLocation().toString();
            String property = error.getProperty();
            boolean extra = "additionalProperties".equals(error.getKeyword());
            faults.add(
                    extra && property != null ? pointer + "/" + property : pointer,
                    ManifestFault.Kind.SCHEMA,
                    error.getMessage(),
                    REMEDIES.getOrDefault(error.getKeyword(), "follow the published schema"));
        }
    }

    /** Returns the text of the published schema. */
    static String text() {
        try (InputStream in = SchemaCheck.class.getResourceAsStream(RESOURCE)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Schema load() {
        return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(text(), InputFormat.JSON);
    }
}
