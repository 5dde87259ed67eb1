package org.amaranthpick.server.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Shared keys of the daemons. The current key is used for new connections; both are accepted, so
 * that a key is replaced in three steps: accept the new one, use it, drop the old one.
 */
public final class PeerKeys {
    /** Shortest key, in bytes. */
    public static final int MIN_KEY_BYTES = 32;

    private final List<byte[]> mKeys = new ArrayList<>();

    /**
     * Copies the keys.
     *
     * @param current key used and accepted
     * @param other further key accepted
     * @throws IllegalArgumentException if a key is too short
     */
    public PeerKeys(byte[] current, Optional<byte[]> other) {
        add(current);
        other.ifPresent(this::add);
    }

    private void add(byte[] key) {
        if (key.length < MIN_KEY_BYTES) {
            throw new IllegalArgumentException(
                    "peer key of "
                            + key.length
                            + " bytes is too short; give at least "
                            + MIN_KEY_BYTES
                            + " random bytes");
        }
        mKeys.add(key.clone());
    }

    byte[] current() {
        return mKeys.get(0);
    }

    List<byte[]> accepted() {
        return mKeys;
    }
}
