package org.amaranthpick.core.follow;

/**
 * Asks another daemon for the changes after a revision.
 *
 * @param prefix prefix of the keys
 * @param after revision up to which the asking daemon has the changes
 * @param waitMs time to wait for changes or a later proof, in milliseconds
 */
public record FollowRequest(String prefix, long after, long waitMs) {}
