package org.amaranthpick.server.store;

import java.time.Duration;

/**
 * This daemon's share of the store.
 *
 * @param readsPerSecond reads and lists per second; an open watch takes one of them
 * @param writesPerSecond writes and deletes per second
 * @param burst time whose calls may be saved up
 * @param maxWait longest time that a call waits for the budget
 * @param maxQueued calls that wait at most
 * @param failuresToPause failures in a row after which the store is left alone
 * @param pauseMin shortest pause before it is tried again
 * @param pauseMax longest pause
 * @param rampTime time from the end of an outage to the full rate
 */
public record BudgetSettings(
        double readsPerSecond,
        double writesPerSecond,
        Duration burst,
        Duration maxWait,
        int maxQueued,
        int failuresToPause,
        Duration pauseMin,
        Duration pauseMax,
        Duration rampTime) {
    private static final double READ_SHARE = 0.8;

    /**
     * Splits one share of calls into reads and writes.
     *
     * @param callsPerSecond calls per second in all, above 0
     * @return settings with usual bounds
     */
    public static BudgetSettings ofShare(double callsPerSecond) {
        return new BudgetSettings(
                callsPerSecond * READ_SHARE,
                callsPerSecond * (1 - READ_SHARE),
                Duration.ofSeconds(5),
                Duration.ofSeconds(2),
                256,
                3,
                Duration.ofMillis(250),
                Duration.ofSeconds(4),
                Duration.ofSeconds(5));
    }
}
