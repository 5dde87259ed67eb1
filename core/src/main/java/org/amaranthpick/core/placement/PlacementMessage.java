package org.amaranthpick.core.placement;

import java.util.List;
import java.util.Set;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerMessage;

/** Placement messages between daemons. */
public sealed interface PlacementMessage extends PeerMessage {
    /** Tag of {@link HoldNotice}. */
    int HOLD_NOTICE = 100;

    /** Tag of {@link LoadNotice}. */
    int LOAD_NOTICE = 101;

    /**
     * All routing holds of one control shard; replaces earlier notices of the shard.
     *
     * @param shard domain of the control shard
     * @param fence fencing number of its owner
     * @param sequence increases with each notice of the same fence
     * @param relay true if the receiver must relay it within its domain
     * @param holds engines with a routing hold
     */
    record HoldNotice(
            Identity shard, long fence, long sequence, boolean relay, List<EngineHold> holds)
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
     * Routing hold of one engine.
     *
     * @param upstream the engine
     * @param modelVersions model versions to which no new work is routed there
     */
    record EngineHold(Identity upstream, Set<Identity> modelVersions) {
        /** Copies the set. */
        public EngineHold {
            modelVersions = Set.copyOf(modelVersions);
        }
    }

    /**
     * Number of weight loads that a control shard runs or waits for.
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
