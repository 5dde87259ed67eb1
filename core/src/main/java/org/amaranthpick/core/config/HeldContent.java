package org.amaranthpick.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Root and chunks in force, kept for peers. Guarded by the lock of the service. */
final class HeldContent {
    private Optional<ConfigurationRoot> mRoot = Optional.empty();
    private Map<String, byte[]> mChunks = new HashMap<>();

    Optional<ConfigurationRoot> root() {
        return mRoot;
    }

    Optional<byte[]> chunk(String digest) {
        return Optional.ofNullable(mChunks.get(digest));
    }

    void replace(ConfigurationRoot root, Map<String, byte[]> chunks) {
        Map<String, byte[]> kept = new HashMap<>();
        root.chunks().forEach(digest -> kept.put(digest, chunks.get(digest)));
        mRoot = Optional.of(root);
        mChunks = kept;
    }

    /** Returns the chunks of a root that are held. */
    Map<String, byte[]> of(ConfigurationRoot root) {
        Map<String, byte[]> held = new HashMap<>();
        for (String digest : root.chunks()) {
            chunk(digest).ifPresent(bytes -> held.put(digest, bytes));
        }
        return held;
    }

    static List<String> missing(ConfigurationRoot root, Map<String, byte[]> held) {
        List<String> missing = new ArrayList<>(root.chunks());
        missing.removeAll(held.keySet());
        return missing;
    }
}
