package org.amaranthpick.core.member;

import org.amaranthpick.core.name.Identity;

/** Configuration generation carried by heartbeats. */
public interface GenerationExchange {
    /** Exchange of a daemon without configuration. */
    GenerationExchange NONE =
            new GenerationExchange() {
                @Override
                public long generation() {
                    return 0;
                }

                @Override
                public void onHeard(Identity from, long generation) {
                    // Nothing to compare with.
                }
            };

    /**
     * Returns the generation in force here.
     *
     * @return generation, 0 before the first
     */
    long generation();

    /**
     * A heartbeat told the generation of a peer.
     *
     * @param from peer
     * @param generation generation in force there
     */
    void onHeard(Identity from, long generation);
}
