package org.amaranthpick.server.peer;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** Bounded queue of payloads for one peer. The oldest are dropped: newer state replaces them. */
final class SendQueue {
    private final int mMaxFrames;
    private final int mMaxBytes;
    private final Deque<byte[]> mPayloads = new ArrayDeque<>();
    private int mBytes;

    SendQueue(int maxFrames, int maxBytes) {
        mMaxFrames = maxFrames;
        mMaxBytes = maxBytes;
    }

    /**
     * Adds a payload.
     *
     * @return number of older payloads dropped for it
     */
    synchronized int add(byte[] payload) {
        mPayloads.addLast(payload);
        mBytes += payload.length;
        int dropped = 0;
        while (mPayloads.size() > mMaxFrames || (mBytes > mMaxBytes && mPayloads.size() > 1)) {
            mBytes -= mPayloads.removeFirst().length;
            dropped++;
        }
        return dropped;
    }

    /**
     * Takes payloads and seals them into one buffer.
     *
     * @param maxBytes size above which no further payload is taken
     * @param reserve room left at the end of the buffer
     * @return buffer to which frames can be added, empty if nothing waits
     */
    synchronized Optional<Batch> take(SealedFrames frames, int maxBytes, int reserve) {
        if (mPayloads.isEmpty()) {
            return Optional.empty();
        }
        Deque<byte[]> taken = new ArrayDeque<>();
        int size = 0;
        while (!mPayloads.isEmpty() && (taken.isEmpty() || size < maxBytes)) {
            byte[] payload = mPayloads.removeFirst();
            mBytes -= payload.length;
            size += payload.length + SealedFrames.OVERHEAD_BYTES;
            taken.addLast(payload);
        }
        ByteBuffer buffer = ByteBuffer.allocate(size + reserve);
        taken.forEach(payload -> frames.seal(SealedFrames.MESSAGE, payload, buffer));
        return Optional.of(new Batch(buffer, taken.size()));
    }

    synchronized int clear() {
        int dropped = mPayloads.size();
        mPayloads.clear();
        mBytes = 0;
        return dropped;
    }

    synchronized boolean isEmpty() {
        return mPayloads.isEmpty();
    }

    /**
     * Frames ready to be written.
     *
     * @param buffer sealed frames, not flipped
     * @param messages number of messages
     */
    record Batch(ByteBuffer buffer, int messages) {}
}
