package org.amaranthpick.core.store;

import java.util.concurrent.CompletionStage;

/**
 * Client of the platform's object store: versioned values of up to {@link #MAX_VALUE_BYTES},
 * conditional writes, lists and watches. Every stage completes normally; failures are reported as
 * results.
 */
public interface ObjectStore extends AutoCloseable {
    /** Maximum size of a value in bytes. */
    int MAX_VALUE_BYTES = 1_000_000;

    /**
     * Reads an object.
     *
     * @param key key of the object
     * @return result; {@link ReadResult.Found} has the newest version that the store returned
     */
    CompletionStage<ReadResult> read(String key);

    /**
     * Writes an object if the condition is met. The result is unknown if the store shows another
     * era than that of the condition.
     *
     * @param key key of the object
     * @param condition condition on the present state of the object
     * @param value new value of at most {@link #MAX_VALUE_BYTES}
     * @param writer token of this write, stored with the value; after an {@link
     *     WriteResult.Unknown} result a read shows by it whether the write took effect
     * @return result
     */
    CompletionStage<WriteResult> write(
            String key, WriteCondition condition, byte[] value, WriterToken writer);

    /**
     * Deletes an object if it has the expected version.
     *
     * @param key key of the object
     * @param version version that the object must have
     * @return result
     */
    CompletionStage<WriteResult> delete(String key, long version);

    /**
     * Lists the objects under a prefix.
     *
     * @param prefix prefix of the keys
     * @return objects with their values, sorted by key
     */
    CompletionStage<ListResult> list(String prefix);

    /**
     * Watches the objects under a prefix. A watch ends when the store shows another era than that
     * of the revision. It may stop delivering events without an error; the caller replaces it when
     * neither an event nor progress arrives in time.
     *
     * @param prefix prefix of the keys
     * @param afterRevision store revision after which changes are reported
     * @param listener receives the events, on any thread
     * @return handle that closes the watch
     */
    Watch watch(String prefix, long afterRevision, WatchListener listener);

    /**
     * Returns the era of the store, which rises when the store comes back from a copy and loses
     * what was written since.
     *
     * @return highest era that a response has shown, 0 if none has named one
     */
    long era();

    /**
     * Closes the idle connections to the store, when connections that are as old as they went
     * silent.
     */
    default void replaceIdleConnections() {}

    @Override
    void close();
}
