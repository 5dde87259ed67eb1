package org.amaranthpick.core.member;

import org.amaranthpick.core.name.Identity;

/** Supplies the configuration generation sent in heartbeats and receives those of peers. */
public interface GenerationExchange {
    /** Used by a daemon without configuration: sends generation 0 and ignores those of peers. */
    GenerationExchange NONE =
            new GenerationExchange() {
                @Override
                public long generation() {
                    return 0;
                }

                @Override
                public void onPeerGeneration(Identity from, long generation) {
                    // No own generation to compare with.
                }
            };

    /**
     * Returns the configuration generation in force on this daemon.
     *
     * @return generation, 0 while none is in force
     */
    long generation();

    /**
     * Handles the configuration generation that a peer sent in a heartbeat.
     *
     * @param from host of the peer
     * @param generation generation in force on the peer
     */
    void onPeerGeneration(Identity from, long generation);
}
