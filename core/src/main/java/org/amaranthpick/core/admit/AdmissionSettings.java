package org.amaranthpick.core.admit;

import java.time.Duration;

/**
 * Settings of {@link FairAdmission}.
 *
 * @param maxWaitingPerWorkspace requests of one workspace that may wait for one group
 * @param maxWaiting requests that may wait for one group
 * @param maxWait longest predicted wait of a request without a deadline
 * @param priorityHeadStart waiting time that one level of priority is worth within a workspace
 * @param priorityTokens tokens of fair share that one level of priority is worth between workspaces
 */
public record AdmissionSettings(
        int maxWaitingPerWorkspace,
        int maxWaiting,
        Duration maxWait,
        Duration priorityHeadStart,
        long priorityTokens) {
    /** Settings for daily use. */
    public static final AdmissionSettings DEFAULT =
            new AdmissionSettings(
                    1_024, 8_192, Duration.ofSeconds(30), Duration.ofSeconds(1), 4_000);
}
