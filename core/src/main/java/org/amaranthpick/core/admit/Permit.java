package org.amaranthpick.core.admit;

/**
 * Permit of a request in progress. Must be closed when the request ends; closing it again has no
 * effect.
 */
public interface Permit extends AutoCloseable {
    /**
     * Sets the number of tokens used, which replaces the number charged at the start.
     *
     * @param tokens tokens used, prompt included
     */
    void setUsedTokens(int tokens);

    @Override
    void close();
}
