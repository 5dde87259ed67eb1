package org.amaranthpick.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Root and chunks of the generation in force, served to peers. Guarded by the lock of the service.
 */
final class CurrentContent {
    private Optional<ConfigurationRoot> mRoot = Optional.empty();
    private Map<String, byte[]> mChunks = new HashMap<>();

    Optional<ConfigurationRoot> root() {
        return mRoot;
    }

    Optional<byte[]> chunk(String digest) {
        return Optional.ofNullable(mChunks.get(digest));
    }

    void replace(ConfigurationRoot root, Map<String, byte[]> chunks) {
        Map<String, byte[]> content = new HashMap<>();
        root.chunks().forEach(digest -> content.put(digest, chunks.get(digest)));
        mRoot = Optional.of(root);
        mChunks = content;
    }

    /** Returns those chunks of a root that are also in the generation in force. */
    Map<String, byte[]> chunksOf(ConfigurationRoot root) {
        Map<String, byte[]> shared = new HashMap<>();
        for (String digest : root.chunks()) {
            chunk(digest).ifPresent(bytes -> shared.put(digest, bytes));
        }
        return shared;
    }

    static List<String> missingChunks(ConfigurationRoot root, Map<String, byte[]> chunks) {
        List<String> missing = new ArrayList<>(root.chunks());
        missing.removeAll(chunks.keySet());
        return missing;
    }
}
