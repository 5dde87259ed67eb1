package org.amaranthpick.core.claim;

/**
 * Proof of a granted claim.
 *
 * @param key key claimed
 * @param requestId request that holds the claim
 */
public record ClaimTicket(ClaimKey key, String requestId) {}
