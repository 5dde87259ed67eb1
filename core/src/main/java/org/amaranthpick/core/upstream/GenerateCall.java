package org.amaranthpick.core.upstream;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.route.Chain;

/**
 * One attempt of a model request, sent to the first stage of its chain.
 *
 * @param requestId globally unique id of the request
 * @param attempt attempt number, 1 or more
 * @param workspace workspace of the request
 * @param chain stages that run the model
 * @param adapter adapter to apply
 * @param prompt prompt text
 * @param emitted texts of the tokens already received, in order; the answer continues after them
 * @param maxTokens maximum number of answer tokens, including those in {@code emitted}
 * @param priority 0 (lowest) to 9
 * @param timeLeft time left until the deadline, if one is set
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
    /** Creates the call with a copy of the list. */
    public GenerateCall {
        emitted = List.copyOf(emitted);
    }
}
