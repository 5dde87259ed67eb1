package org.amaranthpick.core.manifest;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;

/**
 * Value within a document whose form the schema has checked.
 *
 * @param fleet fleet of the section that holds the value
 * @param node value
 * @param pointer JSON pointer of the value
 */
record Cursor(String fleet, JsonNode node, String pointer) {
    Cursor at(String field) {
        return new Cursor(fleet, node.path(field), pointer + "/" + field);
    }

    boolean has(String field) {
        return node.has(field);
    }

    List<Cursor> items(String field) {
        List<Cursor> items = new ArrayList<>();
        for (JsonNode item : node.path(field)) {
            items.add(new Cursor(fleet, item, pointer + "/" + field + "/" + items.size()));
        }
        return items;
    }

    String text(String field) {
        return node.path(field).asText("");
    }

    long number(String field) {
        return node.path(field).asLong();
    }

    int count(String field, int absent) {
        return node.path(field).asInt(absent);
    }

    double decimal(String field) {
        return node.path(field).asDouble();
    }

    boolean flag(String field) {
        return node.path(field).asBoolean(false);
    }

    Identity name(ResourceKind kind) {
        return at("name").convert(name -> new Identity(fleet, kind, name.node.asText()));
    }

    Identity reference(String field, ResourceKind kind) {
        return at(field).reference(kind);
    }

    /**
     * Converts this value.
     *
     * @throws FaultyValueException if the conversion refuses it
     */
    <T> T convert(Function<Cursor, T> conversion) {
        try {
            return conversion.apply(this);
        } catch (FaultyValueException e) {
            throw e;
        } catch (IllegalArgumentException e) {
            throw new FaultyValueException(pointer, e);
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
