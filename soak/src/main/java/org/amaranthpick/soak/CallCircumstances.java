package org.amaranthpick.soak;

import java.time.Duration;
import java.time.Instant;

/**
 * What went on around a request.
 *
 * @param sentWhole whether the caller could send all of it
 * @param harmed whether its daemon was killed or stood still, or came to the end of its grace
 * @param disturbed whether a fault was felt that may break off a stream
 * @param waited time from its last byte to the end of its answer
 * @param daemon address of the daemon
 * @param ended when its answer ended
 */
record CallCircumstances(
        boolean sentWhole,
        boolean harmed,
        boolean disturbed,
        Duration waited,
        String daemon,
        Instant ended) {}
