package org.amaranthpick.core.admit;

/** Right to be in progress. Closing it twice does nothing. */
public interface Permit extends AutoCloseable {
    /**
     * Corrects the tokens counted.
     *
     * @param tokens tokens really used, prompt included
     */
    void used(int tokens);

    @Override
    void close();
}
