package org.amaranthpick.core.store;

/** Handle of an open watch. */
public interface Watch extends AutoCloseable {
    @Override
    void close();
}
