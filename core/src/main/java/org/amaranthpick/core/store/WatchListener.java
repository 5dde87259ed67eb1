package org.amaranthpick.core.store;

/** Told of the events of a watch. */
public interface WatchListener {
    /**
     * An object was written.
     *
     * @param object new state
     */
    void onWritten(StoredObject object);

    /**
     * An object was deleted.
     *
     * @param key key of the object
     * @param revision store revision of the deletion
     */
    void onDeleted(String key, long revision);

    /**
     * The watch is alive and has told everything up to a revision.
     *
     * @param revision store revision
     */
    void onProgress(long revision);

    /**
     * The watch ended; a new list and watch are needed.
     *
     * @param reason what was seen
     */
    void onEnded(String reason);
}
