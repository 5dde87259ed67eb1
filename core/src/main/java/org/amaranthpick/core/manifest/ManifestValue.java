package org.amaranthpick.core.manifest;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;

/**
 * Value in a manifest document with typed access to its fields. The schema check has already found
 * malformed values, so absent or mistyped fields are read as defaults.
 *
 * @param fleet name of the fleet that contains the value; unqualified references resolve to it
 * @param node JSON value
 * @param pointer JSON pointer of the value
 */
record ManifestValue(String fleet, JsonNode node, String pointer) {
    ManifestValue child(String field) {
        return new ManifestValue(fleet, node.path(field), pointer + "/" + field);
    }

    boolean has(String field) {
        return node.has(field);
    }

    List<ManifestValue> items(String field) {
        List<ManifestValue> items = new ArrayList<>();
        for (JsonNode item : node.path(field)) {
            items.add(new ManifestValue(fleet, item, pointer + "/" + field + "/" + items.size()));
        }
        return items;
    }

    String textValue(String field) {
        return node.path(field).asText("");
    }

    long longValue(String field) {
        return node.path(field).asLong();
    }

    int intValue(String field, int defaultValue) {
        return node.path(field).asInt(defaultValue);
    }

    double doubleValue(String field) {
        return node.path(field).asDouble();
    }

    boolean booleanValue(String field) {
        return node.path(field).asBoolean(false);
    }

    Identity identity(ResourceKind kind) {
        return child("name").convert(name -> new Identity(fleet, kind, name.node.asText()));
    }

    Identity reference(String field, ResourceKind kind) {
        return child(field).reference(kind);
    }

    /**
     * Converts this value and adds its pointer to a failure.
     *
     * @throws InvalidValueException if the conversion rejects the value
     */
    <T> T convert(Function<ManifestValue, T> conversion) {
        try {
            return conversion.apply(this);
        } catch (InvalidValueException e) {
            throw e;
        } catch (IllegalArgumentException e) {
            throw new InvalidValueException(pointer, e);
        }
    }

    Optional<Identity> optionalReference(String field, ResourceKind kind) {
        return has(field) ? Optional.of(reference(field, kind)) : Optional.empty();
    }

    List<Identity> references(String field, ResourceKind kind) {
        return items(field).stream().map(item -> item.reference(kind)).toList();
    }

    private Identity reference(ResourceKind kind) {
        return convert(value -> Identity.resolve(fleet, kind, value.node.asText()));
    }
}
