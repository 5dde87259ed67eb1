package org.amaranthpick.server.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** Cuts a stream of bytes into lines. */
public final class LineReader {
    private static final int INITIAL_BYTES = 512;
    private static final byte NEWLINE = '\n';

    private final int mMaxLineBytes;
    private final LineTaker mTaker;
    private byte[] mLine = new byte[INITIAL_BYTES];
    private int mLength;

    /** Takes whole lines. */
    @FunctionalInterface
    public interface LineTaker {
        /**
         * Takes one line.
         *
         * @param bytes holds the line, valid during the call only
         * @param offset start of the line
         * @param length length without the newline, above 0
         * @throws IOException if the line is malformed
         */
        void onLine(byte[] bytes, int offset, int length) throws IOException;
    }

    /**
     * Creates a reader.
     *
     * @param maxLineBytes longest line
     * @param taker takes the lines, without empty ones
     */
    public LineReader(int maxLineBytes, LineTaker taker) {
        mMaxLineBytes = maxLineBytes;
        mTaker = taker;
    }

    /**
     * Takes the next bytes of the stream.
     *
     * @param bytes bytes, read to their end
     * @throws IOException if a line is too long or malformed
     */
    public void feed(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            int end = indexOfNewline(bytes);
            int count = (end < 0 ? bytes.limit() : end) - bytes.position();
            append(bytes, count);
            if (end < 0) {
                return;
            }
            bytes.get();
            finish();
        }
    }

    /**
     * Takes the end of the stream as the end of its last line.
     *
     * @throws IOException if the line is malformed
     */
    public void finish() throws IOException {
        int length = mLength;
        mLength = 0;
        if (length > 0) {
            mTaker.onLine(mLine, 0, length);
        }
    }

    private static int indexOfNewline(ByteBuffer bytes) {
        for (int i = bytes.position(); i < bytes.limit(); i++) {
            if (bytes.get(i) == NEWLINE) {
                return i;
            }
        }
        return -1;
    }

    private void append(ByteBuffer bytes, int count) throws IOException {
        int needed = mLength + count;
        if (needed > mMaxLineBytes) {
            throw new IOException("a line is longer than " + mMaxLineBytes + " bytes");
        }
        if (needed > mLine.length) {
            mLine = Arrays.copyOf(mLine, Math.max(needed, Math.min(mMaxLineBytes, needed * 2)));
        }
        bytes.get(mLine, mLength, count);
        mLength = needed;
    }
}
