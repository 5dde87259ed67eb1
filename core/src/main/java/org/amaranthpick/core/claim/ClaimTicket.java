package org.amaranthpick.core.claim;

/**
 * Handle of a granted claim.
 *
 * @param key claimed key
 * @param requestId ID of the request that holds the claim
 */
public record ClaimTicket(ClaimKey key, String requestId) {}
