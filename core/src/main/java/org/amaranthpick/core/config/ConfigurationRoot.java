package org.amaranthpick.core.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.store.WriterToken;

/**
 * Root object of the stored configuration. It lists the chunks of the accepted generation and the
 * latest acceptances.
 *
 * @param generation generation number, 1 or more
 * @param digest digest of the content, lower-case hex
 * @param chunks digests of the chunks, sorted
 * @param history acceptances up to this one, oldest first, at most {@link #MAX_HISTORY}
 */
public record ConfigurationRoot(
        long generation, String digest, List<String> chunks, List<Acceptance> history) {
    /** Maximum number of acceptances in the history. */
    public static final int MAX_HISTORY = 32;

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Record of an accepted generation.
     *
     * @param generation generation number
     * @param digest digest of the content
     * @param writer token of the write that stored the root
     */
    public record Acceptance(long generation, String digest, WriterToken writer) {}

    /**
     * Copies the lists and checks the history.
     *
     * @throws IllegalArgumentException if the history does not end with this generation
     */
    public ConfigurationRoot {
        chunks = List.copyOf(chunks);
        history = List.copyOf(history);
        if (history.isEmpty() || history.get(history.size() - 1).generation() != generation) {
            throw new IllegalArgumentException(
                    "the history of a configuration root must end with the root's generation");
        }
    }

    /**
     * Returns the acceptance of this generation.
     *
     * @return last entry of the history
     */
    public Acceptance latestAcceptance() {
        return history.get(history.size() - 1);
    }

    /**
     * Finds the acceptance of a write.
     *
     * @param writer token of the write
     * @return acceptance, if the history includes it
     */
    public Optional<Acceptance> findAcceptance(WriterToken writer) {
        return history.stream().filter(a -> a.writer().equals(writer)).findFirst();
    }

    /**
     * Returns whether the history goes back to a generation.
     *
     * @param generation generation number
     * @return true if the oldest entry is of this generation or an earlier one
     */
    public boolean historyIncludes(long generation) {
        return history.get(0).generation() <= generation;
    }

    /**
     * Creates the root of the next generation.
     *
     * @param base current root, empty if there is none
     * @param content chunks of the new generation
     * @param writer token of the write
     * @return root of the next generation
     */
    static ConfigurationRoot next(
            Optional<ConfigurationRoot> base, ManifestChunks content, WriterToken writer) {
        long generation = base.map(ConfigurationRoot::generation).orElse(0L) + 1;
        List<Acceptance> history = new ArrayList<>();
        base.ifPresent(root -> history.addAll(root.history()));
        history.add(new Acceptance(generation, content.digest(), writer));
        int from = Math.max(0, history.size() - MAX_HISTORY);
        return new ConfigurationRoot(
                generation,
                content.digest(),
                List.copyOf(content.chunks().keySet()),
                history.subList(from, history.size()));
    }

    /**
     * Serializes the root.
     *
     * @return JSON bytes
     */
    public byte[] toBytes() {
        ObjectNode node = JSON.createObjectNode().put("generation", generation);
        node.put("digest", digest);
        ArrayNode chunkDigests = node.putArray("chunks");
        chunks.forEach(chunkDigests::add);
        ArrayNode entries = node.putArray("history");
        for (Acceptance acceptance : history) {
            entries.addObject()
                    .put("generation", acceptance.generation())
                    .put("digest", acceptance.digest())
                    .put("writer", acceptance.writer().toString());
        }
        try {
            return JSON.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Parses a root.
     *
     * @param bytes JSON bytes
     * @return root
     * @throws IllegalArgumentException if the bytes are not a valid root
     */
    public static ConfigurationRoot fromBytes(byte[] bytes) {
        try {
            JsonNode node = JSON.readTree(bytes);
            List<String> chunks = new ArrayList<>();
            node.path("chunks").forEach(chunk -> chunks.add(chunk.asText()));
            List<Acceptance> history = new ArrayList<>();
            node.path("history").forEach(entry -> history.add(parseAcceptance(entry)));
            return new ConfigurationRoot(
                    node.path("generation").asLong(),
                    node.path("digest").asText(),
                    chunks,
                    history);
        } catch (IOException e) {
            throw new IllegalArgumentException("configuration root is not JSON", e);
        }
    }

    private static Acceptance parseAcceptance(JsonNode entry) {
        return new Acceptance(
                entry.path("generation").asLong(),
                entry.path("digest").asText(),
                WriterToken.parse(entry.path("writer").asText()));
    }
}
