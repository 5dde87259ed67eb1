package org.amaranthpick.core.store;

/**
 * Token that names one write of one process: no two writes ever share one.
 *
 * @param host key of the writing host
 * @param bootNonce random number drawn at the process start
 * @param counter number of the write within the process
 */
public record WriterToken(String host, long bootNonce, long counter) {
    /**
     * Parses the form written by {@link #toString()}.
     *
     * @param text token text
     * @return token
     * @throws IllegalArgumentException if the text is malformed
     */
    public static WriterToken parse(String text) {
        String[] parts = text.split(";", -1);
        if (parts.length != 3) {
            throw new IllegalArgumentException("writer token \"" + text + "\" needs three parts");
        }
        return new WriterToken(
                parts[0], Long.parseUnsignedLong(parts[1], 16), Long.parseLong(parts[2]));
    }

    @Override
    public String toString() {
        return host + ";" + Long.toHexString(bootNonce) + ";" + counter;
    }
}
