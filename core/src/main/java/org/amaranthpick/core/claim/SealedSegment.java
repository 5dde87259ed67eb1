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
 * Kept in memory as the object's bytes with a sorted index.
 */
final class SealedSegment {
    private static final Comparator<ClaimEntry> BY_KEY =
            Comparator.<ClaimEntry>comparingLong(e -> e.key().high())
                    .thenComparingLong(e -> e.key().low());

    private final byte[] mBytes;
    private final long[] mHighs;
    private final int[] mOffsets;
    private final long mNewestMs;
    private final int mAnswerBytes;

    /**
     * Reads a segment.
     *
     * @param bytes value of its object, not copied
     * @throws UncheckedIOException if the bytes are malformed
     */
    SealedSegment(byte[] bytes) {
        mBytes = bytes;
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int count = unpacker.unpackArrayHeader();
            mHighs = new long[count];
            mOffsets = new int[count];
            long newestMs = 0;
            int answerBytes = 0;
            for (int i = 0; i < count; i++) {
                mOffsets[i] = (int) unpacker.getTotalReadBytes();
                ClaimEntry entry = ClaimEntryCodec.unpack(unpacker);
                mHighs[i] = entry.key().high();
                newestMs = Math.max(newestMs, entry.claimedAtMs());
                answerBytes += entry.answer().map(a -> a.body().length()).orElse(0);
            }
            mNewestMs = newestMs;
            mAnswerBytes = answerBytes;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Writes entries in the form of a segment.
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
     * Finds an entry.
     *
     * @param key hash of the key
     * @return the entry, if it is in this segment
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
     * Counts the entries.
     *
     * @return number of entries
     */
    int size() {
        return mHighs.length;
    }

    /**
     * Returns the time of the newest claim.
     *
     * @return wall-clock time, milliseconds
     */
    long newestMs() {
        return mNewestMs;
    }

    /**
     * Counts the kept answers.
     *
     * @return characters of all answers
     */
    int answerBytes() {
        return mAnswerBytes;
    }

    /**
     * Returns all entries.
     *
     * @return entries sorted by key
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
