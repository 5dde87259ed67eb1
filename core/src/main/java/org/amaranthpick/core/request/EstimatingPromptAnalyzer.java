package org.amaranthpick.core.request;

import org.amaranthpick.core.route.PrefixHasher;

/** Analyzer without a tokenizer; estimates tokens from a fixed number of characters per token. */
public final class EstimatingPromptAnalyzer implements PromptAnalyzer {
    private static final int CHARS_PER_TOKEN = PrefixHasher.BLOCK_CHARS / PrefixHasher.BLOCK_TOKENS;

    @Override
    public Analysis analyze(ModelRequest request) {
        String prompt = request.prompt();
        int tokens = (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
        return new Analysis(
                Math.max(1, tokens),
                PrefixHasher.hashes(
                        request.workspace().id(),
                        request.pipeline().modelVersion(),
                        request.pipeline().adapter(),
                        prompt));
    }
}
