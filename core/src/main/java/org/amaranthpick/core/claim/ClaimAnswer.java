package org.amaranthpick.core.claim;

/**
 * Answer kept for repeats.
 *
 * @param status HTTP status, or 200 for a model answer
 * @param contentType type of the body
 * @param body text of the body, small
 */
public record ClaimAnswer(int status, String contentType, String body) {}
