package org.amaranthpick.core.observe;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerMessage;

/** Peer messages that exchange the observed state of upstreams. */
sealed interface ObserveMessage extends PeerMessage {
    /** Tag of {@link Digest}. */
    int DIGEST_TAG = 40;

    /** Tag of {@link Metadata}. */
    int METADATA_TAG = 41;

    /** Tag of {@link MetadataRequest}. */
    int METADATA_REQUEST_TAG = 42;

    /** Route of a digest from its observer to the receiver. */
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
     * State of the upstreams that changed; upstreams that are omitted are unchanged.
     *
     * @param origin host key of the observer, empty if the sender is the observer
     * @param sequence number of the digest on its route; a gap means that a digest was lost
     * @param sentAtMs send time on the observer's clock, milliseconds
     * @param salt salt of the upstream codes
     * @param route route of the digest
     * @param entries states of the upstreams
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
     * Metadata of one upstream.
     *
     * @param upstream the upstream
     * @param metadata boot, holdings and fencing number of the upstream
     */
    record Metadata(Identity upstream, UpstreamMetadata metadata) implements ObserveMessage {
        @Override
        public int tag() {
            return METADATA_TAG;
        }
    }

    /**
     * Requests the metadata of upstreams, or a full digest of the upstreams that the receiver
     * observes.
     *
     * @param salt salt of the upstream codes
     * @param codes codes of the upstreams whose metadata is requested, empty for a full digest
     */
    record MetadataRequest(int salt, List<Integer> codes) implements ObserveMessage {
        /** Copies the list. */
        public MetadataRequest {
            codes = List.copyOf(codes);
        }

        @Override
        public int tag() {
            return METADATA_REQUEST_TAG;
        }
    }
}
