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
 * Claim entries of one shard: those in its head object and those in the sealed segments that the
 * head lists. Not thread-safe.
 */
final class ClaimJournal {
    /**
     * Time for which a released request is remembered, so that a delayed acquire of it is refused.
     */
    static final long RELEASED_RETENTION_MS = 600_000;

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
     * Decodes a journal.
     *
     * @param settings settings
     * @param head value of the head object
     * @param available available segments by name; those that the head does not list are ignored
     * @return the journal, empty if the head lists a segment that is not available
     * @throws UncheckedIOException if the head is malformed or in an unknown format
     */
    static Optional<ClaimJournal> decode(
            ClaimSettings settings, byte[] head, Map<String, SealedSegment> available) {
        ClaimJournal journal = empty(settings);
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(head)) {
            int fields = unpacker.unpackArrayHeader();
            int format = unpacker.unpackInt();
            if (fields < HEAD_FIELDS || format != FORMAT) {
                throw new IOException(
                        "journal format " + format + " is not supported; update this daemon");
            }
            int segments = unpacker.unpackArrayHeader();
            for (int i = 0; i < segments; i++) {
                String name = unpacker.unpackString();
                if (!available.containsKey(name)) {
                    return Optional.empty();
                }
                journal.mSegments.put(name, available.get(name));
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
     * Encodes the head.
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
     * Copies the journal. The copies share their segments, which are immutable.
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
     * Returns the number of entries. A segment counts whole until all its entries have expired.
     *
     * @param nowMs wall-clock time in milliseconds
     * @return entries of the head and of the segments that have not expired
     */
    int size(long nowMs) {
        return mHead.size()
                + mSegments.values().stream()
                        .filter(segment -> !isSegmentExpired(segment, nowMs))
                        .mapToInt(SealedSegment::size)
                        .sum();
    }

    /**
     * Applies an operation to this journal.
     *
     * @param operation operation to apply
     * @param nowMs wall-clock time in milliseconds
     * @return reply, valid once the journal is stored
     */
    ShardReply apply(ClaimOperation operation, long nowMs) {
        Decision decision = decide(operation, nowMs);
        if (decision.changes()) {
            decision.entry().ifPresent(entry -> mHead.put(entry.key(), entry));
            if (isRelease(operation)) {
                applyRelease(operation, nowMs);
            }
        }
        return decision.reply();
    }

    /**
     * Returns the reply to an operation that would leave the journal unchanged.
     *
     * @param operation operation to check
     * @param nowMs wall-clock time in milliseconds
     * @return reply, empty if the operation would change the journal
     */
    Optional<ShardReply> replyIfUnchanged(ClaimOperation operation, long nowMs) {
        Decision decision = decide(operation, nowMs);
        return decision.changes() ? Optional.empty() : Optional.of(decision.reply());
    }

    /**
     * Returns the newest entry of a key.
     *
     * @param key hash of the key
     * @return entry in the head, else the newest entry in the segments
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

    private Optional<ClaimEntry> findUnexpired(KeyHash key, long nowMs) {
        return find(key).filter(entry -> !isExpired(entry.claimedAtMs(), nowMs));
    }

    private Decision decide(ClaimOperation operation, long nowMs) {
        Optional<ClaimEntry> entry = findUnexpired(operation.key(), nowMs);
        if (operation instanceof ClaimOperation.Acquire acquire) {
            return decideAcquire(acquire, entry, nowMs);
        }
        return decideSettle((ClaimOperation.Settle) operation, entry);
    }

    private Decision decideAcquire(
            ClaimOperation.Acquire acquire, Optional<ClaimEntry> found, long nowMs) {
        if (mReleasedAtMs.containsKey(acquire.requestHash())) {
            return Decision.unchanged(
                    ShardReply.notStored("the claim of this request was released"));
        }
        if (found.isEmpty()) {
            return decideGrant(acquire, nowMs);
        }
        ClaimEntry entry = found.get();
        if (entry.state() == ClaimState.CLAIMED && entry.requestHash() == acquire.requestHash()) {
            return Decision.unchanged(ShardReply.of(ShardReply.Kind.GRANTED));
        }
        return Decision.unchanged(refusal(acquire, entry));
    }

    private static ShardReply refusal(ClaimOperation.Acquire acquire, ClaimEntry entry) {
        if (entry.bodyHash() != acquire.bodyHash()) {
            return ShardReply.of(ShardReply.Kind.REUSED);
        }
        if (entry.state() == ClaimState.CLAIMED) {
            return ShardReply.inProgress(entry.holder(), entry.claimedAtMs());
        }
        return entry.answer()
                .map(ShardReply::completed)
                .orElse(ShardReply.of(ShardReply.Kind.OUTCOME_UNKNOWN));
    }

    private Decision decideGrant(ClaimOperation.Acquire acquire, long nowMs) {
        if (size(nowMs) >= mSettings.maxShardEntries()) {
            return Decision.unchanged(
                    ShardReply.notStored(
                            "the shard holds its maximum number of keys; wait until keys expire"));
        }
        ClaimEntry entry =
                new ClaimEntry(
                        acquire.key(),
                        ClaimState.CLAIMED,
                        acquire.requestHash(),
                        acquire.bodyHash(),
                        nowMs,
                        acquire.holder(),
                        Optional.empty());
        return Decision.changed(ShardReply.Kind.GRANTED, entry);
    }

    private Decision decideSettle(ClaimOperation.Settle settle, Optional<ClaimEntry> found) {
        ShardReply settled = ShardReply.of(ShardReply.Kind.SETTLED);
        if (isRelease(settle)) {
            boolean released = mReleasedAtMs.containsKey(settle.requestHash());
            return new Decision(settled, !released, Optional.empty());
        }
        return found.filter(entry -> isHeldBy(entry, settle))
                .map(entry -> entry.settled(settle.state(), settle.answer()))
                .map(entry -> Decision.changed(ShardReply.Kind.SETTLED, entry))
                .orElse(Decision.unchanged(settled));
    }

    /**
     * Removes the entry if the request holds it, and records the release so that a delayed acquire
     * of the request is refused.
     */
    private void applyRelease(ClaimOperation operation, long nowMs) {
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
     * Removes expired entries, segments and records of released requests.
     *
     * @param nowMs wall-clock time in milliseconds
     */
    void removeExpired(long nowMs) {
        mHead.values().removeIf(entry -> isExpired(entry.claimedAtMs(), nowMs));
        mReleasedAtMs
                .values()
                .removeIf(releasedAtMs -> nowMs - releasedAtMs > RELEASED_RETENTION_MS);
        mSegments.values().removeIf(segment -> isSegmentExpired(segment, nowMs));
    }

    /**
     * Returns whether every entry of a segment has expired.
     *
     * @param segment segment
     * @param nowMs wall-clock time in milliseconds
     * @return true if the segment can be deleted
     */
    boolean isSegmentExpired(SealedSegment segment, long nowMs) {
        return isExpired(segment.newestClaimMs(), nowMs);
    }

    private boolean isExpired(long claimedAtMs, long nowMs) {
        long ageMs = nowMs - claimedAtMs;
        return ageMs > mSettings.expiry().plus(mSettings.skewMargin().multipliedBy(2)).toMillis();
    }

    /**
     * Returns the entries that can move to a segment: settled ones, and claimed ones whose request
     * counts as lost by its age.
     *
     * @param nowMs wall-clock time in milliseconds
     * @return entries by key, in the state in which they are to be stored
     */
    Map<KeyHash, ClaimEntry> sealable(long nowMs) {
        Map<KeyHash, ClaimEntry> sealable = new HashMap<>();
        for (ClaimEntry entry : mHead.values()) {
            boolean countsAsLost =
                    nowMs - entry.claimedAtMs() > mSettings.maxRequestTime().toMillis();
            if (entry.state() == ClaimState.DONE || entry.state() == ClaimState.LOST) {
                sealable.put(entry.key(), entry);
            } else if (entry.state() == ClaimState.CLAIMED && countsAsLost) {
                sealable.put(entry.key(), entry.settled(ClaimState.LOST, Optional.empty()));
            }
        }
        return sealable;
    }

    /**
     * Returns the segments that the head lists.
     *
     * @return segments by name
     */
    Map<String, SealedSegment> segments() {
        return Map.copyOf(mSegments);
    }

    /**
     * Returns the total length of the answers stored in the segments.
     *
     * @return length of all answer bodies in characters
     */
    int answerChars() {
        return mSegments.values().stream().mapToInt(SealedSegment::answerChars).sum();
    }

    /**
     * Returns the segment with the oldest answers.
     *
     * @return name of the segment, empty if no segment has answers
     */
    Optional<String> oldestSegmentWithAnswers() {
        return mSegments.entrySet().stream()
                .filter(entry -> entry.getValue().answerChars() > 0)
                .min(Comparator.comparingLong(entry -> entry.getValue().newestClaimMs()))
                .map(Map.Entry::getKey);
    }

    /**
     * Adds a stored segment and removes the entries or the segment that it replaces.
     *
     * @param name name of the segment
     * @param segment the segment
     * @param keys keys whose entries are removed from the head
     * @param replaced segment that the new one replaces, if any
     */
    void addSegment(
            String name, SealedSegment segment, Iterable<KeyHash> keys, Optional<String> replaced) {
        keys.forEach(mHead::remove);
        replaced.ifPresent(mSegments::remove);
        mSegments.put(name, segment);
    }

    /**
     * Effect of an operation on the journal and the reply to it.
     *
     * @param reply reply to the operation
     * @param changes true if the operation changes the journal
     * @param entry entry to put into the head, empty if there is none
     */
    private record Decision(ShardReply reply, boolean changes, Optional<ClaimEntry> entry) {
        static Decision unchanged(ShardReply reply) {
            return new Decision(reply, false, Optional.empty());
        }

        static Decision changed(ShardReply.Kind kind, ClaimEntry entry) {
            return new Decision(ShardReply.of(kind), true, Optional.of(entry));
        }
    }
}
