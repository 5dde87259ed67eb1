package org.amaranthpick.tools.experiment;

/**
 * One request of a load pattern.
 *
 * @param atMs time from the start
 * @param domain failure domain of its caller
 * @param caller number of the caller, which decides the daemon
 * @param promptTokens tokens to read
 * @param answerTokens tokens to write
 * @param patienceMs time after which the caller leaves if nothing came, 0 for the usual
 */
public record Arrival(
        double atMs,
        String domain,
        int caller,
        int promptTokens,
        int answerTokens,
        int patienceMs) {}
