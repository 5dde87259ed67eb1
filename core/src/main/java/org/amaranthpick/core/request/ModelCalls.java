package org.amaranthpick.core.request;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.admit.AdmissionRequest;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.ChainRequest;
import org.amaranthpick.core.upstream.GenerateCall;

/**
 * Forms in which a model request is put to admission, chain choice and upstreams.
 *
 * @param request the request
 * @param model model version that it pins
 * @param prompt size and hashes of its prompt
 */
record ModelCalls(CallerRequest request, ModelVersionSpec model, PromptAnalyzer.Analysis prompt) {
    AdmissionRequest admission() {
        return new AdmissionRequest(
                request.requestId(),
                request.workspace(),
                model.id().key(),
                prompt.tokens() + request.maxTokens(),
                request.priority(),
                request.deadline());
    }

    ChainRequest chain(
            int doneTokens,
            Set<Identity> excluded,
            Optional<Chain> previous,
            Optional<Duration> timeLeft) {
        return new ChainRequest(
                request.requestId(),
                request.configuration(),
                model,
                request.pipeline().adapter(),
                prompt.tokens(),
                doneTokens,
                request.maxTokens() - doneTokens,
                prompt.prefixHashes(),
                excluded,
                previous,
                timeLeft);
    }

    GenerateCall generate(
            int attempt, Chain chain, TokenSequencer tokens, Optional<Duration> timeLeft) {
        return new GenerateCall(
                request.requestId(),
                attempt,
                request.workspace().id(),
                chain,
                request.pipeline().adapter(),
                request.prompt(),
                tokens.texts(),
                request.maxTokens(),
                request.priority(),
                timeLeft);
    }
}
