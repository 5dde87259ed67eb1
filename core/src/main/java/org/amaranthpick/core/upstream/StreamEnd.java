package org.amaranthpick.core.upstream;

import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/** How the stream of one attempt ended. */
public sealed interface StreamEnd {
    /**
     * The answer is whole.
     *
     * @param reason why generation stopped, {@code stop} or {@code length}
     * @param tokens tokens of the whole answer
     */
    record Finished(String reason, int tokens) implements StreamEnd {}

    /**
     * An upstream refused before running anything.
     *
     * @param upstream the upstream that refused
     * @param reason its reason
     * @param retryAfter when to come back, if it said so
     */
    record Refused(Identity upstream, String reason, Optional<Duration> retryAfter)
            implements StreamEnd {}

    /**
     * A stage was lost. The attempt may have run.
     *
     * @param upstream the stage at fault
     * @param reason what was seen
     */
    record StageLost(Identity upstream, String reason) implements StreamEnd {}

    /**
     * The call never left this host: no byte was sent.
     *
     * @param upstream the upstream that could not be reached
     * @param reason what was seen
     */
    record NotSent(Identity upstream, String reason) implements StreamEnd {}
}
