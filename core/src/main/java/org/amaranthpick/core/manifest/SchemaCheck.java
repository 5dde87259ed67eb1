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
                    Map.entry(
                            "additionalProperties", "remove the property or correct its spelling"),
                    Map.entry("type", "use a value of the required type"),
                    Map.entry("enum", "use one of the listed values"),
                    Map.entry("pattern", "use a value of the required form"),
                    Map.entry("minimum", "use a larger number"),
                    Map.entry("exclusiveMinimum", "use a larger number"),
                    Map.entry("maximum", "use a smaller number"),
                    Map.entry("minLength", "use a longer text"),
                    Map.entry("maxLength", "use a shorter text"),
                    Map.entry("minItems", "add entries"),
                    Map.entry("maxItems", "remove entries"));

    private SchemaCheck() {}

    /** Adds a fault for every violation of the schema. */
    static void check(ManifestDocument document, FaultList faults) {
        for (Error error : SCHEMA.validate(document.root())) {
            String pointer = error.getInstanceLocation().toString();
            String property = error.getProperty();
            boolean unknownProperty = "additionalProperties".equals(error.getKeyword());
            faults.add(
                    unknownProperty && property != null ? pointer + "/" + property : pointer,
                    ManifestFault.Kind.SCHEMA,
                    error.getMessage(),
                    REMEDIES.getOrDefault(error.getKeyword(), "follow the published schema"));
        }
    }

    /** Returns the text of the published schema. */
    static String schemaText() {
        try (InputStream in = SchemaCheck.class.getResourceAsStream(RESOURCE)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Schema load() {
        return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(schemaText(), InputFormat.JSON);
    }
}
