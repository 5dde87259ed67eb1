package org.amaranthpick.core.follow;

import java.util.List;

/**
 * Answer to a {@link FollowRequest}.
 *
 * @param live whether the answering daemon watches the store itself; otherwise the rest means
 *     nothing
 * @param complete whether the changes are all since the revision asked for; otherwise there are
 *     none, and the objects must be listed
 * @param revision revision up to which the answering daemon has the changes
 * @param ageMs time since its last response of the store, in milliseconds
 * @param heldMs time for which it held the request, in milliseconds
 * @param changes changes in their order
 */
public record FollowAnswer(
        boolean live,
        boolean complete,
        long revision,
        long ageMs,
        long heldMs,
        List<FollowedChange> changes) {
    /** Answer of a daemon that doesn't watch the store itself. */
    static final FollowAnswer NOT_LIVE = new FollowAnswer(false, false, 0, 0, 0, List.of());

    /** Replaces an absent list, as of a release that doesn't write it; else keeps the list. */
    public FollowAnswer {
        changes = changes == null ? List.of() : changes;
    }
}
