package org.amaranthpick.core.claim;

import org.amaranthpick.core.name.Identity;

/**
 * Idempotency key of a workspace.
 *
 * @param workspace identity of the workspace
 * @param key value of the Idempotency-Key header
 */
public record ClaimKey(Identity workspace, String key) {}
