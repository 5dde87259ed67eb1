package org.amaranthpick.core.claim;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Settled entries that were moved out of a shard's head into an object of their own. Immutable.
 * Holds the object's bytes and an index of them, sorted by key.
 */
final class SealedSegment {
    private static final Comparator<ClaimEntry> BY_KEY =
            Comparator.<ClaimEntry>comparingLong(e -> e.key().high())
                    .thenComparingLong(e -> e.key().low());

    private final byte[] mBytes;
    private final long[] mHighs;
    private final int[] mOffsets;
    private final long mNewestClaimMs;
    private final int mAnswerChars;

    /**
     * Decodes a segment.
     *
     * @param bytes value of the segment's object, not copied
     * @throws UncheckedIOException if the bytes are malformed
     */
    SealedSegment(byte[] bytes) {
        mBytes = bytes;
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int count = unpacker.unpackArrayHeader();
            mHighs = new long[count];
            mOffsets = new int[count];
            long newestClaimMs = 0;
            int answerChars = 0;
            for (int i = 0; i < count; i++) {
                mOffsets[i] = (int) unpacker.getTotalReadBytes();
                ClaimEntry entry = ClaimEntryCodec.unpack(unpacker);
                mHighs[i] = entry.key().high();
                newestClaimMs = Math.max(newestClaimMs, entry.claimedAtMs());
                answerChars += entry.answer().map(a -> a.body().length()).orElse(0);
            }
            mNewestClaimMs = newestClaimMs;
            mAnswerChars = answerChars;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Encodes entries as a segment.
     *
     * @param entries settled entries
     * @return value of the segment's object
     */
    static byte[] encode(Collection<ClaimEntry> entries) {
        List<ClaimEntry> sorted = entries.stream().sorted(BY_KEY).toList();
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(sorted.size());
            for (ClaimEntry entry : sorted) {
                ClaimEntryCodec.pack(entry, packer);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the entry of a key.
     *
     * @param key hash of the key
     * @return the entry, empty if the segment has none
     */
    Optional<ClaimEntry> find(KeyHash key) {
        for (int i = firstAtLeast(key.high()); i < mHighs.length; i++) {
            if (mHighs[i] != key.high()) {
                break;
            }
            ClaimEntry entry = entryAt(i);
            if (entry.key().equals(key)) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the number of entries.
     *
     * @return number of entries
     */
    int size() {
        return mHighs.length;
    }

    /**
     * Returns the time of the newest claim in this segment.
     *
     * @return wall-clock time in milliseconds
     */
    long newestClaimMs() {
        return mNewestClaimMs;
    }

    /**
     * Returns the total length of the stored answers.
     *
     * @return length of all answer bodies in characters
     */
    int answerChars() {
        return mAnswerChars;
    }

    /**
     * Returns all entries.
     *
     * @return entries sorted by key hash
     */
    List<ClaimEntry> entries() {
        List<ClaimEntry> entries = new ArrayList<>(mOffsets.length);
        for (int i = 0; i < mOffsets.length; i++) {
            entries.add(entryAt(i));
        }
        return entries;
    }

    private int firstAtLeast(long high) {
        int from = 0;
        int to = mHighs.length;
        while (from < to) {
            int middle = (from + to) >>> 1;
            if (mHighs[middle] < high) {
                from = middle + 1;
            } else {
                to = middle;
            }
        }
        return from;
    }

    private ClaimEntry entryAt(int index) {
        int offset = mOffsets[index];
        try (MessageUnpacker unpacker =
                MessagePack.newDefaultUnpacker(mBytes, offset, mBytes.length - offset)) {
            return ClaimEntryCodec.unpack(unpacker);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
