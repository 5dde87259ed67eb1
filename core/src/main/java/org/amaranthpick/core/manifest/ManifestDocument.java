package org.amaranthpick.core.manifest;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * Parsed JSON or YAML document with the position of each value.
 *
 * @param root root value
 * @param positions positions of the values by JSON pointer
 */
record ManifestDocument(JsonNode root, Map<String, Position> positions) {
    /**
     * Position of a value in the text.
     *
     * @param line line, from 1
     * @param column column, from 1
     */
    record Position(int line, int column) {
        static final Position START = new Position(1, 1);
    }

    /** Returns the position of a value, or of the nearest enclosing value with a known position. */
    Position positionOf(String pointer) {
        String enclosing = pointer;
        while (!enclosing.isEmpty()) {
            Position position = positions.get(enclosing);
            if (position != null) {
                return position;
            }
            enclosing = enclosing.substring(0, Math.max(0, enclosing.lastIndexOf('/')));
        }
        return positions.getOrDefault("", Position.START);
    }
}
