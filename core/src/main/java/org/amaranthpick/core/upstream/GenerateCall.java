package org.amaranthpick.core.upstream;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.route.Chain;

/**
 * One attempt of a model request, sent to the first stage of its chain.
 *
 * @param requestId id of the request, unique over the whole system
 * @param attempt attempt number, 1 or more
 * @param workspace workspace that the answer belongs to
 * @param chain stages
 * @param adapter adapter to apply
 * @param prompt prompt text
 * @param emitted tokens already emitted to the caller, oldest first; the answer continues after
 *     them
 * @param maxTokens tokens of the whole answer at most, emitted ones included
 * @param priority 0 (lowest) to 9
 * @param timeLeft time left to the deadline, if one is set
 */
public record GenerateCall(
        String requestId,
        int attempt,
        Identity workspace,
        Chain chain,
        Optional<Identity> adapter,
        String prompt,
        List<String> emitted,
        int maxTokens,
        int priority,
        Optional<Duration> timeLeft) {
    /** Copies the list. */
    public GenerateCall {
        emitted = List.copyOf(emitted);
    }
}
