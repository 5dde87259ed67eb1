package org.amaranthpick.core.admit;

import java.util.List;
import org.amaranthpick.core.peer.PeerMessage;

/** Messages that share the limits of workspaces between daemons. */
sealed interface ShareMessage extends PeerMessage {
    /** Tag of {@link Candidacy}. */
    int CANDIDACY_TAG = 60;

    /** Tag of {@link Consent}. */
    int CONSENT_TAG = 61;

    /** Tag of {@link Ask}. */
    int ASK_TAG = 62;

    /** Tag of {@link Grant}. */
    int GRANT_TAG = 63;

    /**
     * Asks to be the home of shards for one term.
     *
     * @param sequence number of the round
     * @param shards bit set of shards
     * @param released bit set of shards that the sender gives up
     */
    record Candidacy(long sequence, long shards, long released) implements ShareMessage {
        @Override
        public int tag() {
            return CANDIDACY_TAG;
        }
    }

    /**
     * Consents to a home for one term.
     *
     * @param sequence number of the round answered
     * @param shards bit set of shards consented to
     * @param idle bit set of those in which the sender holds no place
     */
    record Consent(long sequence, long shards, long idle) implements ShareMessage {
        @Override
        public int tag() {
            return CONSENT_TAG;
        }
    }

    /**
     * Tells a home what is used and wanted.
     *
     * @param sequence number of the ask
     * @param entries one per workspace
     */
    record Ask(long sequence, List<AskEntry> entries) implements ShareMessage {
        /** Copies the list. */
        public Ask {
            entries = List.copyOf(entries);
        }

        @Override
        public int tag() {
            return ASK_TAG;
        }
    }

    /**
     * Need of one workspace.
     *
     * @param workspace code of the workspace
     * @param held places held of this home's domain
     * @param used those of them in which a request is in progress
     * @param places places wanted in all
     * @param requests further requests wanted
     * @param tokens further tokens wanted
     */
    record AskEntry(long workspace, int held, int used, int places, int requests, int tokens) {}

    /**
     * Grants of a home. Places last one lease, counted from when the ask was sent.
     *
     * @param sequence number of the ask answered
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
     * Grant to one workspace.
     *
     * @param workspace code of the workspace
     * @param places places in all
     * @param requests further requests
     * @param tokens further tokens
     */
    record GrantEntry(long workspace, int places, int requests, int tokens) {}
}
