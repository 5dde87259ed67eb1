package org.amaranthpick.core.claim;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Entries of one shard: those in its head object and the sealed segments that the head names. Not
 * thread-safe.
 */
final class ClaimJournal {
    /** Time for which a released request is remembered, so that a late ask of it is refused. */
    static final long RELEASED_MEMORY_MS = 600_000;

    private static final int FORMAT = 1;
    private static final int HEAD_FIELDS = 3;

    private final ClaimSettings mSettings;
    private final Map<KeyHash, ClaimEntry> mHead;
    private final Map<String, SealedSegment> mSegments;

    private ClaimJournal(
            ClaimSettings settings,
            Map<KeyHash, ClaimEntry> head,
            Map<String, SealedSegment> segments) {
        mSettings = settings;
        mHead = head;
        mSegments = segments;
    }

    /**
     * Creates the journal of a shard that was never written.
     *
     * @param settings settings
     * @return empty journal
     */
    static ClaimJournal empty(ClaimSettings settings) {
        return new ClaimJournal(settings, new LinkedHashMap<>(), new LinkedHashMap<>());
    }

    /**
     * Reads a journal.
     *
     * @param settings settings
     * @param head value of the head object
     * @param known segments by name; those that the head does not name are left out
     * @return the journal, empty if the head names a segment that is not known
     * @throws UncheckedIOException if the head is malformed or of a newer format
     */
    static Optional<ClaimJournal> decode(
            ClaimSettings settings, byte[] head, Map<String, SealedSegment> known) {
        ClaimJournal journal = empty(settings);
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(head)) {
            int fields = unpacker.unpackArrayHeader();
            int format = unpacker.unpackInt();
            if (fields < HEAD_FIELDS || format != FORMAT) {
                throw new IOException("journal format " + format + " is not known; update first");
            }
            int segments = unpacker.unpackArrayHeader();
            for (int i = 0; i < segments; i++) {
                String name = unpacker.unpackString();
                if (!known.containsKey(name)) {
                    return Optional.empty();
                }
                journal.mSegments.put(name, known.get(name));
            }
            int entries = unpacker.unpackArrayHeader();
            for (int i = 0; i < entries; i++) {
                ClaimEntry entry = ClaimEntryCodec.unpack(unpacker);
                journal.mHead.put(entry.key(), entry);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Optional.of(journal);
    }

    /**
     * Writes the head.
     *
     * @return value of the head object
     */
    byte[] encodeHead() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(HEAD_FIELDS);
            packer.packInt(FORMAT);
            packer.packArrayHeader(mSegments.size());
            for (String name : mSegments.keySet()) {
                packer.packString(name);
            }
            packer.packArrayHeader(mHead.size());
            for (ClaimEntry entry : mHead.values()) {
                ClaimEntryCodec.pack(entry, packer);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Copies the journal; segments are shared.
     *
     * @return copy
     */
    ClaimJournal copy() {
        return new ClaimJournal(
                mSettings, new LinkedHashMap<>(mHead), new LinkedHashMap<>(mSegments));
    }

    /**
     * Counts the entries.
     *
     * @return entries of head and segments
     */
    int size() {
        return mHead.size() + mSegments.values().stream().mapToInt(SealedSegment::size).sum();
    }

    /**
     * Applies an operation.
     *
     * @param operation operation
     * @param nowMs wall-clock time, milliseconds
     * @return reply, true once the journal is stored
     */
    ShardReply apply(ClaimOperation operation, long nowMs) {
        Decision decision = decide(operation, nowMs);
        decision.entry().ifPresent(entry -> mHead.put(entry.key(), entry));
        return decision.reply();
    }

    /**
     * Tells the reply to an operation that changes nothing.
     *
     * @param operation operation
     * @param nowMs wall-clock time, milliseconds
     * @return reply, empty if the operation would change the journal
     */
    Optional<ShardReply> peek(ClaimOperation operation, long nowMs) {
        Decision decision = decide(operation, nowMs);
        return decision.entry().isPresent() ? Optional.empty() : Optional.of(decision.reply());
    }

    /**
     * Finds the newest entry of a key.
     *
     * @param key hash of the key
     * @return entry of the head, else the newest one of the segments
     */
    Optional<ClaimEntry> find(KeyHash key) {
        ClaimEntry inHead = mHead.get(key);
        if (inHead != null) {
            return Optional.of(inHead);
        }
        return mSegments.values().stream()
                .flatMap(segment -> segment.find(key).stream())
                .max(Comparator.comparingLong(ClaimEntry::claimedAtMs));
    }

    private Optional<ClaimEntry> findLive(KeyHash key, long nowMs) {
        return find(key).filter(entry -> !isExpired(entry.claimedAtMs(), nowMs));
    }

    private Decision decide(ClaimOperation operation, long nowMs) {
        Optional<ClaimEntry> entry = findLive(operation.key(), nowMs);
        if (operation instanceof ClaimOperation.Ask ask) {
            return ask(ask, entry, nowMs);
        }
        return settle((ClaimOperation.Settle) operation, entry, nowMs);
    }

    private Decision ask(ClaimOperation.Ask ask, Optional<ClaimEntry> found, long nowMs) {
        if (found.isEmpty()) {
            return grant(ask, nowMs);
        }
        ClaimEntry entry = found.get();
        boolean sameRequest = entry.requestHash() == ask.requestHash();
        if (entry.state() == ClaimState.RELEASED) {
            return sameRequest
                    ? Decision.unchanged(ShardReply.notStored("the request was given up"))
                    : grant(ask, nowMs);
        }
        if (entry.state() == ClaimState.CLAIMED && sameRequest) {
            return Decision.unchanged(ShardReply.of(ShardReply.Kind.GRANTED));
        }
        return Decision.unchanged(refuse(ask, entry));
    }

    private static ShardReply refuse(ClaimOperation.Ask ask, ClaimEntry entry) {
        if (entry.bodyHash() != ask.bodyHash()) {
            return ShardReply.of(ShardReply.Kind.REUSED);
        }
        if (entry.state() == ClaimState.CLAIMED) {
            return ShardReply.inProgress(entry.holder(), entry.claimedAtMs());
        }
        return entry.answer()
                .map(ShardReply::kept)
                .orElse(ShardReply.of(ShardReply.Kind.OUTCOME_UNKNOWN));
    }

    private Decision grant(ClaimOperation.Ask ask, long nowMs) {
        if (size() >= mSettings.maxShardEntries()) {
            return Decision.unchanged(
                    ShardReply.notStored("the shard remembers its most keys; wait for expiry"));
        }
        ClaimEntry entry =
                new ClaimEntry(
                        ask.key(),
                        ClaimState.CLAIMED,
                        ask.requestHash(),
                        ask.bodyHash(),
                        nowMs,
                        ask.holder(),
                        Optional.empty());
        return new Decision(ShardReply.of(ShardReply.Kind.GRANTED), Optional.of(entry));
    }

    private static Decision settle(
            ClaimOperation.Settle settle, Optional<ClaimEntry> found, long nowMs) {
        Optional<ClaimEntry> next = Optional.empty();
        if (found.isPresent()) {
            next =
                    found.filter(entry -> entry.requestHash() == settle.requestHash())
                            .filter(entry -> entry.state() == ClaimState.CLAIMED)
                            .map(entry -> entry.settled(settle.state(), settle.answer()));
        } else if (settle.state() == ClaimState.RELEASED) {
            next = Optional.of(ClaimEntry.releasedUnseen(settle, nowMs));
        }
        return new Decision(ShardReply.of(ShardReply.Kind.SETTLED), next);
    }

    /**
     * Forgets what is past its time.
     *
     * @param nowMs wall-clock time, milliseconds
     * @return names of the segments that are no longer named by the head
     */
    List<String> forget(long nowMs) {
        mHead.values().removeIf(entry -> isForgotten(entry, nowMs));
        List<String> dropped = new ArrayList<>();
        mSegments.forEach(
                (name, segment) -> {
                    if (isPast(segment, nowMs)) {
                        dropped.add(name);
                    }
                });
        dropped.forEach(mSegments::remove);
        return dropped;
    }

    /**
     * Tells whether every entry of a segment is past its expiry.
     *
     * @param segment segment
     * @param nowMs wall-clock time, milliseconds
     * @return true if nothing in it matters any more
     */
    boolean isPast(SealedSegment segment, long nowMs) {
        return isExpired(segment.newestMs(), nowMs);
    }

    private boolean isForgotten(ClaimEntry entry, long nowMs) {
        if (entry.state() == ClaimState.RELEASED) {
            return nowMs - entry.claimedAtMs() > RELEASED_MEMORY_MS;
        }
        return isExpired(entry.claimedAtMs(), nowMs);
    }

    private boolean isExpired(long claimedAtMs, long nowMs) {
        long ageMs = nowMs - claimedAtMs;
        return ageMs > mSettings.expiry().plus(mSettings.skewMargin().multipliedBy(2)).toMillis();
    }

    /**
     * Lists the entries that can be sealed: settled ones, and claimed ones so old that their
     * request counts as lost.
     *
     * @param nowMs wall-clock time, milliseconds
     * @return entries in the state in which they are sealed
     */
    Map<KeyHash, ClaimEntry> sealable(long nowMs) {
        Map<KeyHash, ClaimEntry> sealable = new HashMap<>();
        for (ClaimEntry entry : mHead.values()) {
            boolean old = nowMs - entry.claimedAtMs() > mSettings.maxRequestTime().toMillis();
            if (entry.state() == ClaimState.DONE || entry.state() == ClaimState.LOST) {
                sealable.put(entry.key(), entry);
            } else if (entry.state() == ClaimState.CLAIMED && old) {
                sealable.put(entry.key(), entry.settled(ClaimState.LOST, Optional.empty()));
            }
        }
        return sealable;
    }

    /**
     * Returns the segments.
     *
     * @return segments by name
     */
    Map<String, SealedSegment> segments() {
        return Map.copyOf(mSegments);
    }

    /**
     * Moves entries from the head to a stored segment.
     *
     * @param name name of the segment
     * @param segment the segment
     * @param keys keys of its entries
     */
    void seal(String name, SealedSegment segment, Iterable<KeyHash> keys) {
        keys.forEach(mHead::remove);
        mSegments.put(name, segment);
    }

    /**
     * Decision on one operation.
     *
     * @param reply reply
     * @param entry entry to store, empty if nothing changes
     */
    private record Decision(ShardReply reply, Optional<ClaimEntry> entry) {
        static Decision unchanged(ShardReply reply) {
            return new Decision(reply, Optional.empty());
        }
    }
}
