package org.amaranthpick.core.store;

import java.util.concurrent.CompletionStage;

/**
 * The platform's object API: versioned values of up to {@link #MAX_VALUE_BYTES}, conditional
 * updates, lists and watches. Every stage completes normally; failures are results.
 */
public interface ObjectStore extends AutoCloseable {
    /** Largest value, in bytes. */
    int MAX_VALUE_BYTES = 1_000_000;

    /**
     * Reads one object.
     *
     * @param key key of the object
     * @return result; {@link ReadResult.Found} carries the newest version the store would give
     */
    CompletionStage<ReadResult> read(String key);

    /**
     * Writes one object if the condition holds.
     *
     * @param key key of the object
     * @param condition state that the object must be in
     * @param value new value, at most {@link #MAX_VALUE_BYTES}
     * @param writer token of this very write, kept beside the value so that an {@link
     *     WriteResult.Unknown} answer can be settled by reading it back
     * @return result
     */
    CompletionStage<WriteResult> write(
            String key, WriteCondition condition, byte[] value, WriterToken writer);

    /**
     * Deletes one object if its version matches.
     *
     * @param key key of the object
     * @param version version it must have
     * @return result
     */
    CompletionStage<WriteResult> delete(String key, long version);

    /**
     * Lists the objects under a prefix.
     *
     * @param prefix start of the keys
     * @return objects with their values, sorted by key
     */
    CompletionStage<ListResult> list(String prefix);

    /**
     * Watches the objects under a prefix. The watch may go silent for good without an error; the
     * caller replaces it when no event or progress mark arrives in time.
     *
     * @param prefix start of the keys
     * @param afterRevision only changes after this store revision are told
     * @param listener told of events, on any thread
     * @return handle that ends the watch
     */
    Watch watch(String prefix, long afterRevision, WatchListener listener);

    @Override
    void close();
}
