package org.amaranthpick.server.http.response;

/** Line before a chunk: its size in hexadecimal digits, and perhaps extensions. */
final class ChunkLine {
    private static final int RADIX = 16;
    private static final long MAX_BYTES = Long.MAX_VALUE / RADIX - 1;
    private static final char QUOTE = '"';
    private static final char ESCAPE = '\\';

    private final String mLine;
    private int mIndex;

    private ChunkLine(String line) {
        mLine = line;
    }

    /** Returns the size in bytes, 0 for the last chunk. */
    static long parseSize(String line) throws MalformedResponseException {
        ChunkLine chunkLine = new ChunkLine(line);
        long size = chunkLine.readSize();
        if (size < 0 || !chunkLine.readExtensions()) {
            throw new MalformedResponseException(
                    ResponseFault.CHUNK, QuotedText.of(line) + " is no size of a chunk");
        }
        return size;
    }

    /** Returns the size, or a negative number if there is none or it is too large. */
    private long readSize() {
        long size = 0;
        while (mIndex < mLine.length()) {
            int digit = Character.digit(mLine.charAt(mIndex), RADIX);
            if (digit < 0) {
                break;
            }
            if (size > MAX_BYTES) {
                return -1;
            }
            size = size * RADIX + digit;
            mIndex++;
        }
        return mIndex == 0 ? -1 : size;
    }

    /** Reads {@code *( BWS ";" BWS name [ BWS "=" BWS value ] )} to the end of the line. */
    private boolean readExtensions() {
        while (mIndex < mLine.length()) {
            skipBlanks();
            if (!skip(';')) {
                return false;
            }
            skipBlanks();
            if (!readToken()) {
                return false;
            }
            int end = mIndex;
            skipBlanks();
            if (!skip('=')) {
                mIndex = end;
                continue;
            }
            skipBlanks();
            if (!readToken() && !readQuotedString()) {
                return false;
            }
        }
        return true;
    }

    private boolean readToken() {
        int start = mIndex;
        while (mIndex < mLine.length() && Characters.isTokenCharacter(mLine.charAt(mIndex))) {
            mIndex++;
        }
        return mIndex > start;
    }

    private boolean readQuotedString() {
        if (!skip(QUOTE)) {
            return false;
        }
        while (!skip(QUOTE)) {
            skip(ESCAPE);
            if (mIndex == mLine.length()
                    || !Characters.isFieldTextCharacter(mLine.charAt(mIndex))) {
                return false;
            }
            mIndex++;
        }
        return true;
    }

    private void skipBlanks() {
        while (mIndex < mLine.length() && Characters.isBlank(mLine.charAt(mIndex))) {
            mIndex++;
        }
    }

    private boolean skip(char expected) {
        boolean found = mIndex < mLine.length() && mLine.charAt(mIndex) == expected;
        if (found) {
            mIndex++;
        }
        return found;
    }
}
