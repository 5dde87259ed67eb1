package org.amaranthpick.core.config;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerMessage;

/** Messages that spread the configuration. */
public sealed interface ConfigMessage extends PeerMessage {
    int TAG_NOTICE = 20;
    int TAG_ROOT_REQUEST = 21;
    int TAG_ROOT_REPLY = 22;
    int TAG_CHUNK_REQUEST = 23;
    int TAG_CHUNK_REPLY = 24;
    int TAG_IN_FORCE = 25;
    int TAG_IN_FORCE_QUERY = 26;
    int TAG_IN_FORCE_REPLY = 27;

    /**
     * A generation is in force at the sender and can be fetched there.
     *
     * @param generation the generation
     * @param origin daemon of the domain that learnt of it first; the spread tree starts there
     */
    record Notice(long generation, Identity origin) implements ConfigMessage {
        @Override
        public int tag() {
            return TAG_NOTICE;
        }
    }

    /** Asks for the root in force. */
    record RootRequest() implements ConfigMessage {
        @Override
        public int tag() {
            return TAG_ROOT_REQUEST;
        }
    }

    /**
     * Root in force at the sender.
     *
     * @param root root, empty if there is none yet
     */
    record RootReply(Optional<ConfigurationRoot> root) implements ConfigMessage {
        @Override
        public int tag() {
            return TAG_ROOT_REPLY;
        }
    }

    /**
     * Asks for chunks.
     *
     * @param digests their digests
     */
    record ChunkRequest(List<String> digests) implements ConfigMessage {
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
     * One chunk.
     *
     * @param digest its digest
     * @param bytes its bytes, not copied; empty if the sender does not hold it
     */
    @SuppressWarnings("ArrayRecordComponent")
    record ChunkReply(String digest, byte[] bytes) implements ConfigMessage {
        @Override
        public int tag() {
            return TAG_CHUNK_REPLY;
        }
    }

    /**
     * Tells those who keep count which generation is in force at the sender.
     *
     * @param generation generation in force
     */
    record InForce(long generation) implements ConfigMessage {
        @Override
        public int tag() {
            return TAG_IN_FORCE;
        }
    }

    /**
     * Asks on which daemons of the receiver's domain a generation is in force.
     *
     * @param query number of the query
     * @param generation the generation
     */
    record InForceQuery(long query, long generation) implements ConfigMessage {
        @Override
        public int tag() {
            return TAG_IN_FORCE_QUERY;
        }
    }

    /**
     * Answer of one domain.
     *
     * @param query number of the query
     * @param domain the domain
     * @param live its live daemons
     * @param laggards those without the generation, at most {@link #MAX_LAGGARDS}
     */
    record InForceReply(long query, Identity domain, int live, List<Identity> laggards)
            implements ConfigMessage {
        /** Laggards named per domain. */
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
