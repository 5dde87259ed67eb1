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

/** Compares two manifests resource by resource. */
public final class ConfigurationDiff {
    private static final String ABSENT_VALUE = "(none)";
    private static final int MAX_VALUE_LENGTH = 200;
    private static final Map<String, String> KIND_BY_SECTION =
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
     * @param before old manifest
     * @param after new manifest
     * @return changes sorted by key; empty if they are equal
     */
    public static List<ConfigurationChange> of(Manifest before, Manifest after) {
        Map<String, JsonNode> oldResources = resourcesByKey(before);
        Map<String, JsonNode> newResources = resourcesByKey(after);
        Set<String> keys = new TreeSet<>(oldResources.keySet());
        keys.addAll(newResources.keySet());
        List<ConfigurationChange> changes = new ArrayList<>();
        for (String key : keys) {
            if (!oldResources.containsKey(key)) {
                changes.add(new Added(key));
            } else if (!newResources.containsKey(key)) {
                changes.add(new Removed(key));
            } else if (!oldResources.get(key).equals(newResources.get(key))) {
                changes.add(
                        new Changed(
                                key, changedFields(oldResources.get(key), newResources.get(key))));
            }
        }
        return changes;
    }

    /**
     * Formats changes for people.
     *
     * @param changes changes to format
     * @return one or more lines per change, or {@code no change}
     */
    public static String text(List<ConfigurationChange> changes) {
        if (changes.isEmpty()) {
            return "no change\n";
        }
        StringBuilder text = new StringBuilder();
        changes.forEach(change -> text.append(change.text()).append('\n'));
        return text.toString();
    }

    private static Map<String, JsonNode> resourcesByKey(Manifest manifest) {
        Map<String, JsonNode> resources = new TreeMap<>();
        for (JsonNode fleet : ManifestWriter.toJson(manifest).path("fleets")) {
            String name = fleet.path("name").asText();
            resources.put(name + "/fleet", fleet.path("name"));
            for (Map.Entry<String, JsonNode> section : fleet.properties()) {
                String kind = KIND_BY_SECTION.get(section.getKey());
                if (kind != null) {
                    addSection(name + "/" + kind, section.getValue(), resources);
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

    private static List<FieldChange> changedFields(JsonNode before, JsonNode after) {
        Set<String> names = new TreeSet<>();
        before.fieldNames().forEachRemaining(names::add);
        after.fieldNames().forEachRemaining(names::add);
        List<FieldChange> changes = new ArrayList<>();
        for (String name : names) {
            if (!before.path(name).equals(after.path(name))) {
                changes.add(
                        new FieldChange(name, format(before.path(name)), format(after.path(name))));
            }
        }
        return changes;
    }

    private static String format(JsonNode node) {
        String text = node.isMissingNode() ? ABSENT_VALUE : node.toString();
        return text.length() <= MAX_VALUE_LENGTH
                ? text
                : text.substring(0, MAX_VALUE_LENGTH) + "...";
    }
}
