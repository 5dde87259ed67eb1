package org.amaranthpick.core.route;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/**
 * Hashes the complete blocks of a prompt. Each hash includes the previous one, and the first
 * includes the workspace, model version and adapter, so that equal prompts of two workspaces never
 * match.
 */
public final class PrefixHasher {
    /** Characters per block. */
    public static final int BLOCK_CHARS = 64;

    /** Estimated tokens per block. */
    public static final int BLOCK_TOKENS = 16;

    private static final int MAX_BLOCKS = 1_024;

    private PrefixHasher() {}

    /**
     * Hashes a prompt.
     *
     * @param workspace identity of kind WORKSPACE
     * @param modelVersion identity of kind MODEL_VERSION
     * @param adapter adapter in use, if any
     * @param prompt prompt text
     * @return hashes of the complete blocks, in order; at most 1,024
     */
    public static List<Long> hashes(
            Identity workspace, Identity modelVersion, Optional<Identity> adapter, String prompt) {
        int blocks = Math.min(MAX_BLOCKS, prompt.length() / BLOCK_CHARS);
        List<Long> hashes = new ArrayList<>(blocks);
        HashStream64 stream = Hashing.komihash5_0().hashStream();
        long previous =
                stream.putString(workspace.key())
                        .putString(modelVersion.key())
                        .putString(adapter.map(Identity::key).orElse(""))
                        .getAsLong();
        for (int block = 0; block < blocks; block++) {
            int start = block * BLOCK_CHARS;
            stream.reset();
            previous =
                    stream.putLong(previous)
                            .putChars(prompt.subSequence(start, start + BLOCK_CHARS))
                            .getAsLong();
            hashes.add(previous);
        }
        return hashes;
    }
}
