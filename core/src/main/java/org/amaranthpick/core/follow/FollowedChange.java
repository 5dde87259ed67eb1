package org.amaranthpick.core.follow;

import java.util.Optional;
import org.amaranthpick.core.store.StoredObject;

/**
 * Change of an object.
 *
 * @param key key of the object
 * @param version revision of the write or deletion
 * @param deleted whether the object was deleted
 * @param value value, not copied; empty after a deletion
 */
@SuppressWarnings("ArrayRecordComponent")
public record FollowedChange(String key, long version, boolean deleted, byte[] value) {
    private static final byte[] NO_VALUE = new byte[0];

    /** Replaces an absent value, as after a deletion; else keeps the value. */
    public FollowedChange {
        value = value == null ? NO_VALUE : value;
    }

    static FollowedChange written(StoredObject object) {
        return new FollowedChange(object.key(), object.version(), false, object.value());
    }

    static FollowedChange deleted(String key, long revision) {
        return new FollowedChange(key, revision, true, NO_VALUE);
    }

    StoredObject object() {
        return new StoredObject(key, version, value, Optional.empty());
    }

    int bytes() {
        return key.length() + value.length;
    }
}
