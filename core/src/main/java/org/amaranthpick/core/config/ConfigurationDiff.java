package org.amaranthpick.core.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.amaranthpick.core.config.ConfigurationChange.Added;
import org.amaranthpick.core.config.ConfigurationChange.Changed;
import org.amaranthpick.core.config.ConfigurationChange.FieldChange;
import org.amaranthpick.core.config.ConfigurationChange.Removed;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ManifestWriter;

/** What would change between two manifests. */
public final class ConfigurationDiff {
    private static final String NONE = "(none)";
    private static final int MAX_VALUE_LENGTH = 200;
    private static final Map<String, String> LABELS =
            Map.of(
                    "domains", "domain",
                    "links", "link",
                    "hosts", "host",
                    "weightStore", "weight-store",
                    "upstreams", "upstream",
                    "modelVersions", "model-version",
                    "adapters", "adapter",
                    "pipelines", "pipeline",
                    "workspaces", "workspace",
                    "services", "service");

    private ConfigurationDiff() {}

    /**
     * Compares two manifests.
     *
     * @param before present manifest
     * @param after manifest to compare with it
     * @return changes sorted by key; empty if they are equal
     */
    public static List<ConfigurationChange> of(Manifest before, Manifest after) {
        Map<String, JsonNode> old = resources(before);
        Map<String, JsonNode> now = resources(after);
        Set<String> keys = new TreeSet<>(old.keySet());
        keys.addAll(now.keySet());
        List<ConfigurationChange> changes = new ArrayList<>();
        for (String key : keys) {
            if (!old.containsKey(key)) {
                changes.add(new Added(key));
            } else if (!now.containsKey(key)) {
                changes.add(new Removed(key));
            } else if (!old.get(key).equals(now.get(key))) {
                changes.add(new Changed(key, fields(old.get(key), now.get(key))));
            }
        }
        return changes;
    }

    /**
     * Writes changes as text.
     *
     * @param changes changes
     * @return one or more lines per change, or a line that says there is none
     */
    public static String text(List<ConfigurationChange> changes) {
        if (changes.isEmpty()) {
            return "no change\n";
        }
        StringBuilder text = new StringBuilder();
        changes.forEach(change -> text.append(change.text()).append('\n'));
        return text.toString();
    }

    private static Map<String, JsonNode> resources(Manifest manifest) {
        Map<String, JsonNode> resources = new TreeMap<>();
        for (JsonNode fleet : ManifestWriter.toJson(manifest).path("fleets")) {
            String name = fleet.path("name").asText();
            resources.put(name + "/fleet", fleet.path("name"));
            for (Map.Entry<String, JsonNode> section : fleet.properties()) {
                String label = LABELS.get(section.getKey());
                if (label != null) {
                    addSection(name + "/" + label, section.getValue(), resources);
                }
            }
        }
        return resources;
    }

    private static void addSection(
            String prefix, JsonNode section, Map<String, JsonNode> resources) {
        if (!section.isArray()) {
            resources.put(prefix, section);
            return;
        }
        for (JsonNode item : section) {
            String between = item.has("between") ? item.path("between").asText() + " " : "";
            resources.put(prefix + "/" + between + ManifestChunks.key(item), item);
        }
    }

    private static List<FieldChange> fields(JsonNode before, JsonNode after) {
        Set<String> names = new TreeSet<>();
        before.fieldNames().forEachRemaining(names::add);
        after.fieldNames().forEachRemaining(names::add);
        List<FieldChange> fields = new ArrayList<>();
        for (String name : names) {
            if (!before.path(name).equals(after.path(name))) {
                fields.add(
                        new FieldChange(name, value(before.path(name)), value(after.path(name))));
            }
        }
        return fields;
    }

    private static String value(JsonNode node) {
        String text = node.isMissingNode() ? NONE : node.toString();
        return text.length() <= MAX_VALUE_LENGTH
                ? text
                : text.substring(0, MAX_VALUE_LENGTH) + "...";
    }
}
