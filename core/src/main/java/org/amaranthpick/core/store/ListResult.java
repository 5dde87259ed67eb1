package org.amaranthpick.core.store;

import java.util.List;

/** Result of a list call. */
public sealed interface ListResult {
    /**
     * The list is complete as of a revision.
     *
     * @param objects objects sorted by key
     * @param revision store revision of the list; a watch continues after it
     */
    record Listed(List<StoredObject> objects, long revision) implements ListResult {}

    /**
     * The store did not answer or refused.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements ListResult {}
}
