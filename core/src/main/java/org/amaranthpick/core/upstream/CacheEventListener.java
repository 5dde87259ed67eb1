package org.amaranthpick.core.upstream;

/** Told of cache events of one engine. */
public interface CacheEventListener {
    /**
     * An event came, perhaps late or after a gap.
     *
     * @param event the event
     */
    void onEvent(CacheEvent event);

    /**
     * The subscription ended.
     *
     * @param reason what was seen
     */
    void onEnded(String reason);
}
