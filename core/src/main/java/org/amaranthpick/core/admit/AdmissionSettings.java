package org.amaranthpick.core.admit;

import java.time.Duration;

/**
 * Settings of {@link FairAdmission}.
 *
 * @param maxWaitingPerWorkspace maximum number of requests of one workspace that wait for one group
 * @param maxWaiting maximum number of requests that wait for one group
 * @param maxWait maximum wait of a request without a deadline, predicted and actual
 * @param priorityHeadStart waiting time that one priority level is worth within a workspace
 * @param priorityTokens weighted tokens that one priority level is worth between workspaces
 */
public record AdmissionSettings(
        int maxWaitingPerWorkspace,
        int maxWaiting,
        Duration maxWait,
        Duration priorityHeadStart,
        long priorityTokens) {
    /** Default settings. */
    public static final AdmissionSettings DEFAULT =
            new AdmissionSettings(
                    1_024, 8_192, Duration.ofSeconds(30), Duration.ofSeconds(1), 4_000);
}
