package org.amaranthpick.server.http.response;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the bytes of one line after another. */
final class LineBuffer {
    private static final int INITIAL_BYTES = 128;

    /** Above this size, the memory is given back after the line. */
    private static final int MAX_KEPT_BYTES = 1024;

    private static final byte CR = '\r';
    private static final byte LF = '\n';

    private byte[] mBytes = new byte[INITIAL_BYTES];
    private int mLength;
    private boolean mCr;

    /** Ends of lines that are accepted. */
    enum LineEnd {
        /** Only the pair of both characters. */
        CR_LF,

        /** Also a line feed alone, as RFC 9112 lets recipients of heads and trailers do. */
        LF
    }

    /**
     * Reads to the end of the line, or of the bytes. A carriage return anywhere else is refused at
     * once: other parsers take it for the end of a line.
     *
     * @param bytes read up to and with the end of the line
     * @param lineEnd ends that are accepted
     * @param fault fault of a line that does not end so
     * @return whether the line is whole
     */
    boolean read(ByteBuffer bytes, LineEnd lineEnd, ResponseFault fault)
            throws MalformedResponseException {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == LF) {
                if (!mCr && lineEnd == LineEnd.CR_LF) {
                    throw new MalformedResponseException(
                            fault, "line feed alone after " + QuotedText.of(text()));
                }
                return true;
            }
            if (mCr) {
                throw new MalformedResponseException(
                        fault, "carriage return alone after " + QuotedText.of(text()));
            }
            if (next == CR) {
                mCr = true;
            } else {
                append(next);
            }
        }
        return false;
    }

    /** Returns the line without its end, one character a byte, and begins the next one. */
    String take() {
        String line = text();
        mLength = 0;
        mCr = false;
        if (mBytes.length > MAX_KEPT_BYTES) {
            mBytes = new byte[INITIAL_BYTES];
        }
        return line;
    }

    private String text() {
        return new String(mBytes, 0, mLength, StandardCharsets.ISO_8859_1);
    }

    private void append(byte next) {
        if (mLength == mBytes.length) {
            mBytes = Arrays.copyOf(mBytes, mLength * 2);
        }
        mBytes[mLength++] = next;
    }
}
