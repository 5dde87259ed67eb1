package org.amaranthpick.core.config;

import java.util.List;

/** Difference in one resource between two manifests. */
public sealed interface ConfigurationChange {
    /**
     * Returns the key of the resource.
     *
     * @return {@code fleet/kind/name}, or {@code fleet/link/...} and {@code fleet/weight-store}
     */
    String key();

    /**
     * Formats the change for people: one line, and one more for each changed field.
     *
     * @return {@code +}, {@code -} or {@code ~}, the key, and the changed fields
     */
    String text();

    /**
     * Resource that exists in the new manifest only.
     *
     * @param key key of the resource
     */
    record Added(String key) implements ConfigurationChange {
        @Override
        public String text() {
            return "+ " + key;
        }
    }

    /**
     * Resource that exists in the old manifest only.
     *
     * @param key key of the resource
     */
    record Removed(String key) implements ConfigurationChange {
        @Override
        public String text() {
            return "- " + key;
        }
    }

    /**
     * Resource that differs between the manifests.
     *
     * @param key key of the resource
     * @param fields fields that differ
     */
    record Changed(String key, List<FieldChange> fields) implements ConfigurationChange {
        /** Copies the list. */
        public Changed {
            fields = List.copyOf(fields);
        }

        @Override
        public String text() {
            StringBuilder text = new StringBuilder("~ ").append(key);
            for (FieldChange field : fields) {
                text.append("\n    ")
                        .append(field.name())
                        .append(": ")
                        .append(field.before())
                        .append(" -> ")
                        .append(field.after());
            }
            return text.toString();
        }
    }

    /**
     * Difference in one field of a resource.
     *
     * @param name name of the field in the manifest
     * @param before old value as JSON, {@code (none)} if absent
     * @param after new value as JSON, {@code (none)} if absent
     */
    record FieldChange(String name, String before, String after) {}
}
