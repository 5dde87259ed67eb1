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
 * Converts a model request into the requests for admission, chain selection and upstreams.
 *
 * @param request request to convert
 * @param model model version of its pipeline
 * @param prompt token count and block hashes of its prompt
 */
record ModelRequestMapper(
        ModelRequest request, ModelVersionSpec model, PromptAnalyzer.Analysis prompt) {
    AdmissionRequest admissionRequest() {
        return new AdmissionRequest(
                request.requestId(),
                request.workspace(),
                model.id().key(),
                prompt.tokens() + request.maxTokens(),
                request.priority(),
                request.deadline());
    }

    ChainRequest chainRequest(
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

    GenerateCall generateCall(
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
