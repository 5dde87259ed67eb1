package org.amaranthpick.core.store;

/** Handle of a running watch. */
public interface Watch extends AutoCloseable {
    @Override
    void close();
}
