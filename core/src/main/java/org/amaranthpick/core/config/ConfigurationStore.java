package org.amaranthpick.core.config;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.Scheduler;

/**
 * Stores the configuration in the object API of the platform as content-addressed chunks and one
 * root, which is replaced by compare-and-set. A generation is accepted once the write of its root
 * is known to have succeeded. Thread-safe.
 */
public final class ConfigurationStore {
    /** Key of the root. */
    public static final String ROOT_KEY = "config/root";

    /** Prefix of the keys of chunks. */
    public static final String CHUNK_PREFIX = "config/chunk/";

    /** Time after which a publication stops retrying. */
    public static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(20);

    private final ObjectStore mStore;
    private final Scheduler mScheduler;
    private final WriterTokens mTokens;

    /**
     * Creates the access to the stored configuration.
     *
     * @param store object API
     * @param scheduler timers for retries
     * @param tokens source of the writer tokens of this process
     */
    public ConfigurationStore(ObjectStore store, Scheduler scheduler, WriterTokens tokens) {
        mStore = store;
        mScheduler = scheduler;
        mTokens = tokens;
    }

    /**
     * Publishes a manifest as the next generation.
     *
     * @param manifest valid manifest
     * @param expectGeneration generation that must be stored at present, 0 for none; empty to
     *     replace any
     * @return result; completes normally within about {@link #PUBLISH_TIMEOUT}
     */
    public CompletionStage<PublishResult> publish(
            Manifest manifest, OptionalLong expectGeneration) {
        ManifestChunks content;
        try {
            content = ManifestChunks.split(manifest);
        } catch (IllegalArgumentException e) {
            return CompletableFuture.completedFuture(new PublishResult.TooLarge(e.getMessage()));
        }
        return new Publication(this, content, expectGeneration, mTokens.next()).start();
    }

    /**
     * Reads the root.
     *
     * @return result; completes normally
     */
    public CompletionStage<RootResult> readRoot() {
        return mStore.read(ROOT_KEY).thenApply(ConfigurationStore::toRootResult);
    }

    /**
     * Reads one chunk.
     *
     * @param digest digest of the chunk
     * @return content that matches the digest, empty if the store did not return it
     */
    public CompletionStage<Optional<byte[]>> readChunk(String digest) {
        return mStore.read(CHUNK_PREFIX + digest)
                .thenApply(
                        result ->
                                result instanceof ReadResult.Found found
                                        ? Optional.of(found.object().value())
                                                .filter(b -> Sha256.hex(b).equals(digest))
                                        : Optional.empty());
    }

    /**
     * Loads the accepted configuration with all its chunks.
     *
     * @return result; completes normally
     */
    public CompletionStage<LoadResult> load() {
        return readRoot().thenCompose(this::loadRoot);
    }

    /** Parses a stored root; empty if the bytes are not a valid root. */
    static Optional<ConfigurationRoot> parseRoot(byte[] bytes) {
        try {
            return Optional.of(ConfigurationRoot.fromBytes(bytes));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    ObjectStore store() {
        return mStore;
    }

    Scheduler scheduler() {
        return mScheduler;
    }

    private CompletionStage<LoadResult> loadRoot(RootResult result) {
        if (result instanceof RootResult.Unavailable unavailable) {
            return completed(new LoadResult.Unavailable(unavailable.reason()));
        }
        Optional<ConfigurationRoot> root = ((RootResult.Read) result).root();
        if (root.isEmpty()) {
            return completed(new LoadResult.NotPublished());
        }
        return mStore.list(CHUNK_PREFIX).thenApply(list -> toLoadResult(root.get(), list));
    }

    private static LoadResult toLoadResult(ConfigurationRoot root, ListResult list) {
        if (list instanceof ListResult.Unavailable unavailable) {
            return new LoadResult.Unavailable(unavailable.reason());
        }
        Map<String, byte[]> chunks = new TreeMap<>();
        for (StoredObject object : ((ListResult.Listed) list).objects()) {
            chunks.put(object.key().substring(CHUNK_PREFIX.length()), object.value());
        }
        if (!chunks.keySet().containsAll(root.chunks())) {
            return new LoadResult.Unavailable(
                    "chunks are missing because the root has been replaced; load again");
        }
        chunks.keySet().retainAll(root.chunks());
        try {
            Manifest manifest = ManifestChunks.join(chunks.values());
            return new LoadResult.Loaded(
                    new Configuration(root.generation(), root.digest(), manifest));
        } catch (IllegalArgumentException e) {
            return new LoadResult.Unavailable(e.getMessage());
        }
    }

    private static RootResult toRootResult(ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            Optional<ConfigurationRoot> root = parseRoot(found.object().value());
            return root.isPresent()
                    ? new RootResult.Read(root, found.object().version())
                    : new RootResult.Unavailable(
                            "the stored root is malformed; apply the manifest again");
        }
        if (result instanceof ReadResult.Missing) {
            return new RootResult.Read(Optional.empty(), 0);
        }
        return new RootResult.Unavailable(result.toString());
    }

    private static <T> CompletionStage<T> completed(T result) {
        return CompletableFuture.completedFuture(result);
    }
}
