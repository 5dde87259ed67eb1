package org.amaranthpick.core.claim;

import org.amaranthpick.core.name.Identity;

/**
 * Idempotency key of a workspace.
 *
 * @param workspace identity of kind WORKSPACE
 * @param key key as the caller sent it
 */
public record ClaimKey(Identity workspace, String key) {}
