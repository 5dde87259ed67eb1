package org.amaranthpick.core.store;

/** Receives the events of a watch. */
public interface WatchListener {
    /**
     * An object was written.
     *
     * @param object object as written
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
     * The watch is alive and has reported all changes up to a revision.
     *
     * @param revision store revision
     */
    void onProgress(long revision);

    /**
     * The watch ended; the caller has to list and watch again.
     *
     * @param reason reason of the end
     */
    void onEnded(String reason);
}
