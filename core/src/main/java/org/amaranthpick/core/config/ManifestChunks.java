package org.amaranthpick.core.config;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ManifestLoader;
import org.amaranthpick.core.manifest.ManifestWriter;
import org.amaranthpick.core.store.ObjectStore;

/**
 * Manifest split into content-addressed chunks by fleet, section and name, so that a small change
 * changes few chunks. Each chunk is a document in the manifest format.
 *
 * @param chunks content of the chunks by digest
 * @param digest digest of the whole manifest
 */
public record ManifestChunks(SortedMap<String, byte[]> chunks, String digest) {
    /** Target size of a chunk in bytes. */
    public static final int TARGET_BYTES = 16_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Splits a manifest.
     *
     * @param manifest valid manifest
     * @return the chunks and the digest
     * @throws IllegalArgumentException if a single resource exceeds {@link
     *     ObjectStore#MAX_VALUE_BYTES}
     */
    public static ManifestChunks split(Manifest manifest) {
        SortedMap<String, byte[]> chunks = new TreeMap<>();
        for (JsonNode fleet : ManifestWriter.toJson(manifest).path("fleets")) {
            ObjectNode fleetFields = JSON.createObjectNode();
            for (Map.Entry<String, JsonNode> field : fleet.properties()) {
                if (field.getValue() instanceof ArrayNode section) {
                    splitSection(fleet.path("name").asText(), field.getKey(), section, chunks);
                } else {
                    fleetFields.set(field.getKey(), field.getValue());
                }
            }
            add(chunks, bytes(document(fleetFields)));
        }
        return new ManifestChunks(chunks, digestOf(chunks.keySet()));
    }

    /**
     * Joins chunks to a manifest.
     *
     * @param chunks content of every chunk
     * @return the manifest that was split
     * @throws IllegalArgumentException if a chunk is malformed
     */
    public static Manifest join(Collection<byte[]> chunks) {
        List<JsonNode> parts = new ArrayList<>();
        for (byte[] chunk : chunks) {
            try {
                parts.add(JSON.readTree(chunk));
            } catch (IOException e) {
                throw new IllegalArgumentException("configuration chunk is not JSON", e);
            }
        }
        return ManifestLoader.join(parts);
    }

    /**
     * Computes the digest of a manifest from the digests of its chunks.
     *
     * @param chunkDigests digests of the chunks, sorted
     * @return lower-case hex
     */
    public static String digestOf(Collection<String> chunkDigests) {
        return Sha256.hex(String.join("\n", chunkDigests).getBytes(StandardCharsets.UTF_8));
    }

    private static void splitSection(
            String fleet, String section, ArrayNode items, SortedMap<String, byte[]> chunks) {
        int bucketCount = bucketCount(bytes(items).length);
        List<List<JsonNode>> buckets = new ArrayList<>();
        for (int i = 0; i < bucketCount; i++) {
            buckets.add(new ArrayList<>());
        }
        for (JsonNode item : items) {
            long hash = Hashing.komihash5_0().hashStream().putString(key(item)).getAsLong();
            buckets.get((int) (hash & (bucketCount - 1))).add(item);
        }
        for (List<JsonNode> bucket : buckets) {
            if (!bucket.isEmpty()) {
                addBucket(fleet, section, bucket, chunks);
            }
        }
    }

    private static void addBucket(
            String fleet, String section, List<JsonNode> items, SortedMap<String, byte[]> chunks) {
        ObjectNode node = JSON.createObjectNode().put("name", fleet);
        ArrayNode array = node.putArray(section);
        items.sort(Comparator.comparing(ManifestChunks::key));
        array.addAll(items);
        byte[] bytes = bytes(document(node));
        if (bytes.length <= ObjectStore.MAX_VALUE_BYTES) {
            add(chunks, bytes);
            return;
        }
        if (items.size() == 1) {
            throw new IllegalArgumentException(
                    fleet
                            + " "
                            + section
                            + " "
                            + key(items.get(0))
                            + " has "
                            + bytes.length
                            + " bytes; the maximum for a resource is "
                            + ObjectStore.MAX_VALUE_BYTES);
        }
        int half = items.size() / 2;
        addBucket(fleet, section, new ArrayList<>(items.subList(0, half)), chunks);
        addBucket(fleet, section, new ArrayList<>(items.subList(half, items.size())), chunks);
    }

    private static int bucketCount(int bytes) {
        int count = 1;
        while (bytes / count > TARGET_BYTES) {
            count *= 2;
        }
        return count;
    }

    /** Returns the key by which items are split and sorted: the name, or both ends of a link. */
    static String key(JsonNode item) {
        return item.has("name")
                ? item.path("name").asText()
                : item.path("from").asText() + " " + item.path("to").asText();
    }

    private static ObjectNode document(ObjectNode fleet) {
        ObjectNode document = JSON.createObjectNode();
        document.putArray("fleets").add(fleet);
        return document;
    }

    private static void add(SortedMap<String, byte[]> chunks, byte[] bytes) {
        chunks.put(Sha256.hex(bytes), bytes);
    }

    private static byte[] bytes(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
