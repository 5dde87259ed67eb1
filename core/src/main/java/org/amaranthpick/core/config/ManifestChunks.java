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
 * Manifest in content-addressed chunks, split by fleet, section and name, so that a small change
 * touches few chunks. Each chunk is a document of the manifest format.
 *
 * @param chunks bytes by their digest
 * @param digest digest of the whole content
 */
public record ManifestChunks(SortedMap<String, byte[]> chunks, String digest) {
    /** Size that chunks are split towards, in bytes. */
    public static final int TARGET_BYTES = 16_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Splits a manifest.
     *
     * @param manifest checked manifest
     * @return chunks
     * @throws IllegalArgumentException if one resource alone is over the store's limit
     */
    public static ManifestChunks split(Manifest manifest) {
        SortedMap<String, byte[]> chunks = new TreeMap<>();
        for (JsonNode fleet : ManifestWriter.toJson(manifest).path("fleets")) {
            ObjectNode base = JSON.createObjectNode();
            for (Map.Entry<String, JsonNode> field : fleet.properties()) {
                if (field.getValue() instanceof ArrayNode section) {
                    splitSection(fleet.path("name").asText(), field.getKey(), section, chunks);
                } else {
                    base.set(field.getKey(), field.getValue());
                }
            }
            add(chunks, bytes(document(base)));
        }
        return new ManifestChunks(chunks, digestOf(chunks.keySet()));
    }

    /**
     * Joins chunks.
     *
     * @param chunks bytes of every chunk
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
     * Computes the digest that names a content.
     *
     * @param chunkDigests digests of its chunks, sorted
     * @return lower-case hex
     */
    public static String digestOf(Collection<String> chunkDigests) {
        return Sha256.hex(String.join("\n", chunkDigests).getBytes(StandardCharsets.UTF_8));
    }

    private static void splitSection(
            String fleet, String section, ArrayNode items, SortedMap<String, byte[]> chunks) {
        int buckets = bucketCount(bytes(items).length);
        List<List<JsonNode>> split = new ArrayList<>();
        for (int i = 0; i < buckets; i++) {
            split.add(new ArrayList<>());
        }
        for (JsonNode item : items) {
            long hash = Hashing.komihash5_0().hashStream().putString(key(item)).getAsLong();
            split.get((int) (hash & (buckets - 1))).add(item);
        }
        for (List<JsonNode> bucket : split) {
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
                            + " bytes; a resource must stay under "
                            + ObjectStore.MAX_VALUE_BYTES);
        }
        int half = items.size() / 2;
        addBucket(fleet, section, new ArrayList<>(items.subList(0, half)), chunks);
        addBucket(fleet, section, new ArrayList<>(items.subList(half, items.size())), chunks);
    }

    private static int bucketCount(int bytes) {
        int buckets = 1;
        while (bytes / buckets > TARGET_BYTES) {
            buckets *= 2;
        }
        return buckets;
    }

    /** Returns what an item is sorted and split by: its name, or the two ends of a link. */
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
