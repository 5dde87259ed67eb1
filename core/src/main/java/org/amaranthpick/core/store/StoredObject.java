package org.amaranthpick.core.store;

import java.util.Optional;

/**
 * Object read from the store.
 *
 * @param key key of the object
 * @param version store revision at which this value was written, see {@link StoreRevision};
 *     increases with every write
 * @param value value in bytes, not copied
 * @param writer token of the write that created this version, empty if the writer set none
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredObject(String key, long version, byte[] value, Optional<WriterToken> writer) {}
