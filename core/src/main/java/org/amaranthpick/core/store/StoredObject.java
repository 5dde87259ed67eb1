package org.amaranthpick.core.store;

import java.util.Optional;

/**
 * One object of the store.
 *
 * @param key key of the object
 * @param version revision of the store at which this value was written; grows with every write
 * @param value bytes of the value, not copied
 * @param writer token of the write that made this version, where the writer gave one
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredObject(String key, long version, byte[] value, Optional<WriterToken> writer) {}
