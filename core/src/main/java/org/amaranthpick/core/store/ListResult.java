package org.amaranthpick.core.store;

import java.util.List;

/** Result of a list call. */
public sealed interface ListResult {
    /**
     * The store returned all objects under the prefix as of a revision.
     *
     * @param objects objects with their values, sorted by key
     * @param revision store revision of the list, after which a watch continues
     */
    record Listed(List<StoredObject> objects, long revision) implements ListResult {}

    /**
     * The store did not answer or answered with a failure.
     *
     * @param reason reason of the failure
     */
    record Unavailable(String reason) implements ListResult {}
}
