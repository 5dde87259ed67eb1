package org.amaranthpick.core.request;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Analyser without a tokenizer: counts a fixed number of characters as one token and chains a hash
 * over blocks of equal length, seeded with model version and adapter.
 */
public final class EstimatingPromptAnalyzer implements PromptAnalyzer {
    private static final int CHARS_PER_TOKEN = 4;
    private static final int TOKENS_PER_BLOCK = 16;
    private static final int CHARS_PER_BLOCK = CHARS_PER_TOKEN * TOKENS_PER_BLOCK;

    @Override
    public Analysis analyze(ModelVersionSpec model, Optional<Identity> adapter, String prompt) {
        int tokens = (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
        return new Analysis(Math.max(1, tokens), hashes(seed(model, adapter), prompt));
    }

    private static long seed(ModelVersionSpec model, Optional<Identity> adapter) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(model.id().key())
                .putString(adapter.map(Identity::key).orElse(""))
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
