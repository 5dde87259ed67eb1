package org.amaranthpick.core.manifest;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * Parsed document with the position of each value.
 *
 * @param root root value
 * @param positions position by JSON pointer
 */
record ManifestDocument(JsonNode root, Map<String, Position> positions) {
    /**
     * Position in the text.
     *
     * @param line line, from 1
     * @param column column, from 1
     */
    record Position(int line, int column) {
        static final Position START = new Position(1, 1);
    }

    /** Returns the position of a value, or of the nearest enclosing value that exists. */
    Position positionOf(String pointer) {
        String at = pointer;
        while (!at.isEmpty()) {
            Position position = positions.get(at);
            if (position != null) {
                return position;
            }
            at = at.substring(0, Math.max(0, at.lastIndexOf('/')));
        }
        return positions.getOrDefault("", Position.START);
    }
}
