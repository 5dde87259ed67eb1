package org.amaranthpick.core.claim;

/**
 * Answer of a completed request, stored so that repeats of the request receive it.
 *
 * @param status HTTP status; 200 for an answer of a model
 * @param contentType content type of the body
 * @param body text of the body
 */
public record ClaimAnswer(int status, String contentType, String body) {}
