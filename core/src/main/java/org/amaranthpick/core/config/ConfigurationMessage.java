package org.amaranthpick.core.config;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerMessage;

/** Peer messages that distribute the configuration and report where it is in force. */
public sealed interface ConfigurationMessage extends PeerMessage {
    int TAG_GENERATION_NOTICE = 20;
    int TAG_ROOT_REQUEST = 21;
    int TAG_ROOT_REPLY = 22;
    int TAG_CHUNK_REQUEST = 23;
    int TAG_CHUNK_REPLY = 24;
    int TAG_IN_FORCE_REPORT = 25;
    int TAG_IN_FORCE_QUERY = 26;
    int TAG_IN_FORCE_REPLY = 27;

    /**
     * Announces a generation that can be fetched from the sender.
     *
     * @param generation the generation
     * @param origin root of the broadcast tree: the daemon that announced the generation in this
     *     domain
     */
    record GenerationNotice(long generation, Identity origin) implements ConfigurationMessage {
        @Override
        public int tag() {
            return TAG_GENERATION_NOTICE;
        }
    }

    /** Requests the root in force at the receiver. */
    record RootRequest() implements ConfigurationMessage {
        @Override
        public int tag() {
            return TAG_ROOT_REQUEST;
        }
    }

    /**
     * Reply to {@link RootRequest}.
     *
     * @param root root in force at the sender, empty if there is none yet
     */
    record RootReply(Optional<ConfigurationRoot> root) implements ConfigurationMessage {
        @Override
        public int tag() {
            return TAG_ROOT_REPLY;
        }
    }

    /**
     * Requests chunks.
     *
     * @param digests digests of the chunks
     */
    record ChunkRequest(List<String> digests) implements ConfigurationMessage {
        /** Copies the list. */
        public ChunkRequest {
            digests = List.copyOf(digests);
        }

        @Override
        public int tag() {
            return TAG_CHUNK_REQUEST;
        }
    }

    /**
     * Reply to {@link ChunkRequest}, one per chunk.
     *
     * @param digest digest of the chunk
     * @param bytes content of the chunk, not copied; empty if the sender does not have it
     */
    @SuppressWarnings("ArrayRecordComponent")
    record ChunkReply(String digest, byte[] bytes) implements ConfigurationMessage {
        @Override
        public int tag() {
            return TAG_CHUNK_REPLY;
        }
    }

    /**
     * Reports the generation in force at the sender to the watchers of its domain.
     *
     * @param generation generation in force
     */
    record InForceReport(long generation) implements ConfigurationMessage {
        @Override
        public int tag() {
            return TAG_IN_FORCE_REPORT;
        }
    }

    /**
     * Asks a watcher on which daemons of its domain a generation is in force.
     *
     * @param query number of the query
     * @param generation the generation
     */
    record InForceQuery(long query, long generation) implements ConfigurationMessage {
        @Override
        public int tag() {
            return TAG_IN_FORCE_QUERY;
        }
    }

    /**
     * Reply to {@link InForceQuery}.
     *
     * @param query number of the query
     * @param domain domain of the sender
     * @param live number of live daemons in the domain
     * @param laggards live daemons on which the generation is not in force, at most {@link
     *     #MAX_LAGGARDS}
     */
    record InForceReply(long query, Identity domain, int live, List<Identity> laggards)
            implements ConfigurationMessage {
        /** Maximum number of laggards listed per domain. */
        public static final int MAX_LAGGARDS = 100;

        /** Copies the list. */
        public InForceReply {
            laggards = List.copyOf(laggards);
        }

        @Override
        public int tag() {
            return TAG_IN_FORCE_REPLY;
        }
    }
}
