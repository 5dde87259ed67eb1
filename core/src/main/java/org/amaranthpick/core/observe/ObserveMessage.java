package org.amaranthpick.core.observe;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerMessage;

/** Messages of observation. */
sealed interface ObserveMessage extends PeerMessage {
    /** Tag of {@link Digest}. */
    int DIGEST_TAG = 40;

    /** Tag of {@link Facts}. */
    int FACTS_TAG = 41;

    /** Tag of {@link FactsPull}. */
    int FACTS_PULL_TAG = 42;

    /** Way that a digest goes. */
    enum Route {
        DIRECT(0),
        TO_RELAY(1),
        FORWARDED(2),
        REPAIR(3);

        private final int mCode;

        Route(int code) {
            mCode = code;
        }

        int code() {
            return mCode;
        }

        static Optional<Route> of(int code) {
            return Arrays.stream(values()).filter(route -> route.mCode == code).findFirst();
        }
    }

    /**
     * Loads of the upstreams that changed, and the word that the rest did not.
     *
     * @param origin host key of the observer, empty if it is the sender
     * @param sequence number of the digest in its route; a gap means that one was lost
     * @param sentAtMs observer's clock, milliseconds
     * @param salt salt of the upstream codes
     * @param route way that it goes
     * @param entries loads
     */
    record Digest(
            String origin,
            long sequence,
            long sentAtMs,
            int salt,
            Route route,
            List<LoadEntry> entries)
            implements ObserveMessage {
        /** Copies the list. */
        public Digest {
            entries = List.copyOf(entries);
        }

        @Override
        public int tag() {
            return DIGEST_TAG;
        }
    }

    /**
     * What changes rarely of one upstream.
     *
     * @param upstream the upstream
     * @param facts its facts
     */
    record Facts(Identity upstream, StatusFacts facts) implements ObserveMessage {
        @Override
        public int tag() {
            return FACTS_TAG;
        }
    }

    /**
     * Asks for facts, or for a digest of all that the receiver observes.
     *
     * @param salt salt of the upstream codes
     * @param codes codes of the upstreams whose facts are wanted, empty for a whole digest
     */
    record FactsPull(int salt, List<Integer> codes) implements ObserveMessage {
        /** Copies the list. */
        public FactsPull {
            codes = List.copyOf(codes);
        }

        @Override
        public int tag() {
            return FACTS_PULL_TAG;
        }
    }
}
