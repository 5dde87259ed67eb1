package org.amaranthpick.core.upstream;

/** Receives the cache events of one engine. */
public interface CacheEventListener {
    /**
     * Called for each event; events may arrive late or with gaps.
     *
     * @param event the event
     */
    void onEvent(CacheEvent event);

    /**
     * Called when the subscription ends.
     *
     * @param reason observed cause
     */
    void onEnded(String reason);
}
