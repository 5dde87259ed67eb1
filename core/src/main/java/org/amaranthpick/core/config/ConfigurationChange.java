package org.amaranthpick.core.config;

import java.util.List;

/** One difference between two manifests. */
public sealed interface ConfigurationChange {
    /**
     * Returns the key of the resource.
     *
     * @return {@code fleet/kind/name}, or {@code fleet/link/...} and {@code fleet/weight-store}
     */
    String key();

    /**
     * Writes the change as one line.
     *
     * @return sign, key and details
     */
    String text();

    /**
     * A resource is added.
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
     * A resource is removed.
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
     * A resource is changed.
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
     * One field of a changed resource.
     *
     * @param name name in the manifest
     * @param before value as JSON, {@code (none)} if absent
     * @param after value as JSON, {@code (none)} if absent
     */
    record FieldChange(String name, String before, String after) {}
}
