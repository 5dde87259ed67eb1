package org.amaranthpick.core.request;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.name.Identity;

/**
 * Analyser without a tokenizer: counts a fixed number of characters as one token and chains a hash
 * over blocks of equal length, seeded with workspace, model version and adapter.
 */
public final class EstimatingPromptAnalyzer implements PromptAnalyzer {
    private static final int CHARS_PER_TOKEN = 4;
    private static final int TOKENS_PER_BLOCK = 16;
    private static final int CHARS_PER_BLOCK = CHARS_PER_TOKEN * TOKENS_PER_BLOCK;

    @Override
    public Analysis analyze(CallerRequest request) {
        String prompt = request.prompt();
        int tokens = (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
        return new Analysis(Math.max(1, tokens), hashes(seed(request), prompt));
    }

    private static long seed(CallerRequest request) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(request.workspace().id().key())
                .putString(request.pipeline().modelVersion().key())
                .putString(request.pipeline().adapter().map(Identity::key).orElse(""))
                .getAsLong();
    }

    private static List<Long> hashes(long seed, String prompt) {
        List<Long> hashes = new ArrayList<>(prompt.length() / CHARS_PER_BLOCK);
        long previous = seed;
        for (int end = CHARS_PER_BLOCK; end <= prompt.length(); end += CHARS_PER_BLOCK) {
            previous =
                    Hashing.komihash5_0()
                            .hashStream()
                            .putLong(previous)
                            .putString(prompt.substring(end - CHARS_PER_BLOCK, end))
                            .getAsLong();
            hashes.add(previous);
        }
        return hashes;
    }
}
