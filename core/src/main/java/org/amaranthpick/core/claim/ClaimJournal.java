package org.amaranthpick.core.claim;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
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
    private static final int HEAD_FIELDS = 4;

    private final ClaimSettings mSettings;
    private final Map<KeyHash, ClaimEntry> mHead;
    private final Map<String, SealedSegment> mSegments;
    private final Map<Long, Long> mReleasedAtMs;

    private ClaimJournal(
            ClaimSettings settings,
            Map<KeyHash, ClaimEntry> head,
            Map<String, SealedSegment> segments,
            Map<Long, Long> releasedAtMs) {
        mSettings = settings;
        mHead = head;
        mSegments = segments;
        mReleasedAtMs = releasedAtMs;
    }

    /**
     * Creates the journal of a shard that was never written.
     *
     * @param settings settings
     * @return empty journal
     */
    static ClaimJournal empty(ClaimSettings settings) {
        return new ClaimJournal(
                settings, new LinkedHashMap<>(), new LinkedHashMap<>(), new LinkedHashMap<>());
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
            int released = unpacker.unpackMapHeader();
            for (int i = 0; i < released; i++) {
                journal.mReleasedAtMs.put(unpacker.unpackLong(), unpacker.unpackLong());
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
            packer.packMapHeader(mReleasedAtMs.size());
            for (Map.Entry<Long, Long> released : mReleasedAtMs.entrySet()) {
                packer.packLong(released.getKey());
                packer.packLong(released.getValue());
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
                mSettings,
                new LinkedHashMap<>(mHead),
                new LinkedHashMap<>(mSegments),
                new LinkedHashMap<>(mReleasedAtMs));
    }

    /**
     * Counts the entries remembered.
     *
     * @param nowMs wall-clock time, milliseconds
     * @return entries of the head and of the segments that are not past their expiry
     */
    int size(long nowMs) {
        return mHead.size()
                + mSegments.values().stream()
                        .filter(segment -> !isPast(segment, nowMs))
                        .mapToInt(SealedSegment::size)
                        .sum();
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
        if (decision.changes()) {
            decision.entry().ifPresent(entry -> mHead.put(entry.key(), entry));
            if (isRelease(operation)) {
                release(operation, nowMs);
            }
        }
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
        return decision.changes() ? Optional.empty() : Optional.of(decision.reply());
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
        return settle((ClaimOperation.Settle) operation, entry);
    }

    private Decision ask(ClaimOperation.Ask ask, Optional<ClaimEntry> found, long nowMs) {
        if (mReleasedAtMs.containsKey(ask.requestHash())) {
            return Decision.unchanged(ShardReply.notStored("the request was given up"));
        }
        if (found.isEmpty()) {
            return grant(ask, nowMs);
        }
        ClaimEntry entry = found.get();
        if (entry.state() == ClaimState.CLAIMED && entry.requestHash() == ask.requestHash()) {
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
        if (size(nowMs) >= mSettings.maxShardEntries()) {
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
        return Decision.stored(ShardReply.Kind.GRANTED, entry);
    }

    private Decision settle(ClaimOperation.Settle settle, Optional<ClaimEntry> found) {
        ShardReply settled = ShardReply.of(ShardReply.Kind.SETTLED);
        if (isRelease(settle)) {
            boolean known = mReleasedAtMs.containsKey(settle.requestHash());
            return new Decision(settled, !known, Optional.empty());
        }
        return found.filter(entry -> isHeldBy(entry, settle))
                .map(entry -> entry.settled(settle.state(), settle.answer()))
                .map(entry -> Decision.stored(ShardReply.Kind.SETTLED, entry))
                .orElse(Decision.unchanged(settled));
    }

    /** Frees the key if the request holds it, and remembers the request against a late ask. */
    private void release(ClaimOperation operation, long nowMs) {
        ClaimEntry entry = mHead.get(operation.key());
        if (entry != null && isHeldBy(entry, operation)) {
            mHead.remove(operation.key());
        }
        mReleasedAtMs.put(operation.requestHash(), nowMs);
    }

    private static boolean isRelease(ClaimOperation operation) {
        return operation instanceof ClaimOperation.Settle settle
                && settle.state() == ClaimState.RELEASED;
    }

    private static boolean isHeldBy(ClaimEntry entry, ClaimOperation operation) {
        return entry.state() == ClaimState.CLAIMED
                && entry.requestHash() == operation.requestHash();
    }

    /**
     * Forgets what is past its time.
     *
     * @param nowMs wall-clock time, milliseconds
     */
    void forget(long nowMs) {
        mHead.values().removeIf(entry -> isExpired(entry.claimedAtMs(), nowMs));
        mReleasedAtMs.values().removeIf(atMs -> nowMs - atMs > RELEASED_MEMORY_MS);
        mSegments.values().removeIf(segment -> isPast(segment, nowMs));
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
     * Counts the kept answers of the segments.
     *
     * @return characters of all answers
     */
    int answerBytes() {
        return mSegments.values().stream().mapToInt(SealedSegment::answerBytes).sum();
    }

    /**
     * Finds the segment whose answers have been kept longest.
     *
     * @return its name, empty if no segment has answers
     */
    Optional<String> oldestSegmentWithAnswers() {
        return mSegments.entrySet().stream()
                .filter(entry -> entry.getValue().answerBytes() > 0)
                .min(Comparator.comparingLong(entry -> entry.getValue().newestMs()))
                .map(Map.Entry::getKey);
    }

    /**
     * Takes a stored segment in.
     *
     * @param name name of the segment
     * @param segment the segment
     * @param keys keys of entries that leave the head
     * @param replaced segment that it replaces
     */
    void seal(
            String name, SealedSegment segment, Iterable<KeyHash> keys, Optional<String> replaced) {
        keys.forEach(mHead::remove);
        replaced.ifPresent(mSegments::remove);
        mSegments.put(name, segment);
    }

    /**
     * Decision on one operation.
     *
     * @param reply reply
     * @param changes true if the journal changes
     * @param entry entry to store, if one is
     */
    private record Decision(ShardReply reply, boolean changes, Optional<ClaimEntry> entry) {
        static Decision unchanged(ShardReply reply) {
            return new Decision(reply, false, Optional.empty());
        }

        static Decision stored(ShardReply.Kind kind, ClaimEntry entry) {
            return new Decision(ShardReply.of(kind), true, Optional.of(entry));
        }
    }
}
