package org.amaranthpick.server.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** Cuts a stream of bytes into frames: a length of four bytes, most significant first, and data. */
final class FrameReader {
    /** Bytes of the length before each frame. */
    static final int LENGTH_BYTES = 4;

    private static final int FIRST_ALLOCATION_BYTES = 4096;
    private static final byte[] NONE = new byte[0];

    private final FrameTaker mTaker;
    private final ByteBuffer mLengthField = ByteBuffer.allocate(LENGTH_BYTES);
    private int mMaxBytes;
    private byte[] mFrame = NONE;
    private int mLength = -1;
    private int mHave;

    /** Takes whole frames. */
    @FunctionalInterface
    interface FrameTaker {
        /**
         * Takes one frame.
         *
         * @param frame data of the frame
         * @throws IOException if the frame is bad
         */
        void onFrame(byte[] frame) throws IOException;
    }

    FrameReader(int maxBytes, FrameTaker taker) {
        mMaxBytes = maxBytes;
        mTaker = taker;
    }

    void setMaxBytes(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    void feed(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            if (mLength < 0) {
                readLength(bytes);
            } else {
                readData(bytes);
            }
        }
    }

    private void readLength(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining() && mLengthField.hasRemaining()) {
            mLengthField.put(bytes.get());
        }
        if (mLengthField.hasRemaining()) {
            return;
        }
        int length = mLengthField.flip().getInt();
        mLengthField.clear();
        if (length <= 0 || length > mMaxBytes) {
            throw new IOException("frame of " + length + " bytes is not in 1.." + mMaxBytes);
        }
        mLength = length;
        mHave = 0;
        mFrame = new byte[Math.min(length, FIRST_ALLOCATION_BYTES)];
    }

    /** Memory grows with the bytes that really came, not with the length that was claimed. */
    private void readData(ByteBuffer bytes) throws IOException {
        int count = Math.min(bytes.remaining(), mLength - mHave);
        if (mHave + count > mFrame.length) {
            mFrame = Arrays.copyOf(mFrame, Math.min(mLength, 2 * (mHave + count)));
        }
        bytes.get(mFrame, mHave, count);
        mHave += count;
        if (mHave == mLength) {
            byte[] frame = mFrame;
            mFrame = NONE;
            mLength = -1;
            mTaker.onFrame(frame);
        }
    }
}
