package org.amaranthpick.core.upstream;

import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/** End of the stream of one attempt. */
public sealed interface StreamEnd {
    /**
     * The answer is complete.
     *
     * @param reason why generation stopped, {@code stop} or {@code length}
     * @param tokens number of tokens of the complete answer
     */
    record Finished(String reason, int tokens) implements StreamEnd {}

    /**
     * An upstream refused the attempt without running any of it.
     *
     * @param upstream upstream that refused
     * @param reason reason sent by the upstream
     * @param retryAfter delay that the upstream asked for, if any
     */
    record Refused(Identity upstream, String reason, Optional<Duration> retryAfter)
            implements StreamEnd {}

    /**
     * A stage failed; the attempt may have run.
     *
     * @param upstream upstream of the failed stage
     * @param reason observed failure
     */
    record StageLost(Identity upstream, String reason) implements StreamEnd {}

    /**
     * No byte of the call was sent.
     *
     * @param upstream upstream that could not be reached
     * @param reason observed failure
     */
    record NotSent(Identity upstream, String reason) implements StreamEnd {}
}
