package org.amaranthpick.core.placement;

import java.util.List;
import java.util.Set;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerMessage;

/** Messages of placement between daemons. */
public sealed interface PlacementMessage extends PeerMessage {
    /** Tag of {@link HoldNotice}. */
    int HOLD_NOTICE = 100;

    /** Tag of {@link LoadNotice}. */
    int LOAD_NOTICE = 101;

    /**
     * All routing holds of one control shard; replaces what was told before.
     *
     * @param shard domain of the control shard
     * @param fence fencing number of its owner
     * @param sequence grows with each notice of the same fence
     * @param relay true if the receiver is to pass it on within its domain
     * @param holds engines held back
     */
    record HoldNotice(Identity shard, long fence, long sequence, boolean relay, List<Held> holds)
            implements PlacementMessage {
        /** Copies the list. */
        public HoldNotice {
            holds = List.copyOf(holds);
        }

        @Override
        public int tag() {
            return HOLD_NOTICE;
        }
    }

    /**
     * One engine held back from routing.
     *
     * @param upstream the engine
     * @param modelVersions model versions held back there
     */
    record Held(Identity upstream, Set<Identity> modelVersions) {
        /** Copies the set. */
        public Held {
            modelVersions = Set.copyOf(modelVersions);
        }
    }

    /**
     * Weight loads that a control shard wants and has under way.
     *
     * @param shard domain of the control shard
     * @param fence fencing number of its owner
     * @param loads engines that load or wait to load weights
     */
    record LoadNotice(Identity shard, long fence, int loads) implements PlacementMessage {
        @Override
        public int tag() {
            return LOAD_NOTICE;
        }
    }
}
