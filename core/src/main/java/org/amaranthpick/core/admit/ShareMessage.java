package org.amaranthpick.core.admit;

import java.util.List;
import org.amaranthpick.core.peer.PeerMessage;

/** Messages by which daemons share the limits of workspaces. */
sealed interface ShareMessage extends PeerMessage {
    /** Tag of {@link Candidacy}. */
    int CANDIDACY_TAG = 60;

    /** Tag of {@link Vote}. */
    int VOTE_TAG = 61;

    /** Tag of {@link ShareRequest}. */
    int REQUEST_TAG = 62;

    /** Tag of {@link Grant}. */
    int GRANT_TAG = 63;

    /**
     * Requests votes to become the coordinator of shards for one term.
     *
     * @param sequence number of the round
     * @param shards bit set of the shards
     * @param released bit set of the shards that the sender no longer coordinates
     */
    record Candidacy(long sequence, long shards, long released) implements ShareMessage {
        @Override
        public int tag() {
            return CANDIDACY_TAG;
        }
    }

    /**
     * Votes for a candidate for one term.
     *
     * @param sequence number of the round that is answered
     * @param shards bit set of the shards that the vote is given for
     * @param idle bit set of those shards in which the sender holds no slots
     */
    record Vote(long sequence, long shards, long idle) implements ShareMessage {
        @Override
        public int tag() {
            return VOTE_TAG;
        }
    }

    /**
     * Reports to a coordinator the shares that are used and wanted.
     *
     * @param sequence number of the request
     * @param entries one per workspace
     */
    record ShareRequest(long sequence, List<RequestEntry> entries) implements ShareMessage {
        /** Copies the list. */
        public ShareRequest {
            entries = List.copyOf(entries);
        }

        @Override
        public int tag() {
            return REQUEST_TAG;
        }
    }

    /**
     * Shares of one workspace that are used and wanted.
     *
     * @param workspace code of the workspace
     * @param heldSlots slots held that this coordinator's domain has granted
     * @param usedSlots held slots that have a request in progress
     * @param wantedSlots total slots wanted, those held included
     * @param requests additional requests wanted
     * @param tokens additional tokens wanted
     */
    record RequestEntry(
            long workspace,
            int heldSlots,
            int usedSlots,
            int wantedSlots,
            int requests,
            int tokens) {}

    /**
     * Shares granted by a coordinator. Slots are valid for one lease, which starts when the request
     * was sent.
     *
     * @param sequence number of the request that is answered
     * @param entries one per workspace
     */
    record Grant(long sequence, List<GrantEntry> entries) implements ShareMessage {
        /** Copies the list. */
        public Grant {
            entries = List.copyOf(entries);
        }

        @Override
        public int tag() {
            return GRANT_TAG;
        }
    }

    /**
     * Shares granted to one workspace.
     *
     * @param workspace code of the workspace
     * @param slots total slots, those held included
     * @param requests additional requests
     * @param tokens additional tokens
     */
    record GrantEntry(long workspace, int slots, int requests, int tokens) {}
}
