package org.amaranthpick.core.store;

/**
 * Identifies a single write of a process. No two writes have the same token.
 *
 * @param host identity key of the writing host
 * @param bootNonce random number drawn at the process start
 * @param counter number of the write in the process
 */
public record WriterToken(String host, long bootNonce, long counter) {
    /**
     * Parses the text form that {@link #toString()} returns.
     *
     * @param text text form of a token
     * @return token
     * @throws IllegalArgumentException if the text is malformed
     */
    public static WriterToken parse(String text) {
        String[] parts = text.split(";", -1);
        if (parts.length != 3) {
            throw new IllegalArgumentException(
                    "writer token \"" + text + "\" must have three parts");
        }
        return new WriterToken(
                parts[0], Long.parseUnsignedLong(parts[1], 16), Long.parseLong(parts[2]));
    }

    @Override
    public String toString() {
        return host + ";" + Long.toHexString(bootNonce) + ";" + counter;
    }
}
