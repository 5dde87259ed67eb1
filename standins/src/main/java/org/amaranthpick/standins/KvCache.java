package org.amaranthpick.standins;

import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;
import org.amaranthpick.core.manifest.LayerRange;

/** KV cache of an engine stand-in: tokens held per request and layer range. */
final class KvCache {
    private static final int MAX_ENTRIES = 10_000;

    private final ConcurrentMap<Key, Integer> mTokens =
            Caffeine.newBuilder()
                    .maximumSize(MAX_ENTRIES)
                    .executor(Runnable::run)
                    .<Key, Integer>build()
                    .asMap();
    private final LongAdder mKept = new LongAdder();
    private final LongAdder mImported = new LongAdder();
    private final LongAdder mComputed = new LongAdder();

    private record Key(String requestId, LayerRange layers) {}

    /** Makes the cache hold the first tokens of a request, by the way that the stage states. */
    void prepare(String requestId, GenerateBody.Stage stage, int tokens, Optional<KvCache> from) {
        Key key = new Key(requestId, stage.layers());
        int held = 0;
        if (stage.kv().equals("keep")) {
            held = Math.min(tokens, mTokens.getOrDefault(key, 0));
            mKept.add(held);
        } else if (stage.kv().equals("import") && from.isPresent()) {
            held = Math.min(tokens, from.get().held(requestId, stage.layers()));
            mImported.add(held);
        }
        mComputed.add((long) tokens - held);
        mTokens.put(key, tokens);
    }

    void append(String requestId, LayerRange layers) {
        mTokens.merge(new Key(requestId, layers), 1, Integer::sum);
    }

    /** Counts the tokens held for every layer of a range. */
    int held(String requestId, LayerRange layers) {
        return mTokens.entrySet().stream()
                .filter(e -> e.getKey().requestId().equals(requestId))
                .filter(e -> e.getKey().layers().contains(layers))
                .mapToInt(Map.Entry::getValue)
                .max()
                .orElse(0);
    }

    void clear() {
        mTokens.clear();
    }

    long kept() {
        return mKept.sum();
    }

    long imported() {
        return mImported.sum();
    }

    long computed() {
        return mComputed.sum();
    }
}
