package org.amaranthpick.core.claim;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterTokens;

/**
 * Object that fixes the number of shards for all daemons: two daemons with different numbers would
 * look for the same key in different journals.
 */
final class ClaimFormat {
    private static final String KEY = "claims/format";

    private final int mShards;
    private final ObjectStore mStore;
    private final WriterTokens mTokens;
    private volatile boolean mChecked;

    ClaimFormat(int shards, ObjectStore store, WriterTokens tokens) {
        mShards = shards;
        mStore = store;
        mTokens = tokens;
    }

    /**
     * Checks the number of shards once per process; writes it if there is none.
     *
     * @return completes with the fault, empty if the number matches
     */
    CompletionStage<String> check() {
        if (mChecked) {
            return CompletableFuture.completedFuture("");
        }
        return mStore.read(KEY).thenCompose(this::compare);
    }

    private CompletionStage<String> compare(ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            return CompletableFuture.completedFuture(compare(found.object().value()));
        }
        if (result instanceof ReadResult.Missing) {
            byte[] value = Integer.toString(mShards).getBytes(StandardCharsets.UTF_8);
            return mStore.write(KEY, new WriteCondition.Absent(), value, mTokens.next())
                    .thenApply(this::written);
        }
        return CompletableFuture.completedFuture("the store is unreachable");
    }

    private String compare(byte[] value) {
        String stored = new String(value, StandardCharsets.UTF_8);
        if (!stored.equals(Integer.toString(mShards))) {
            return "the journals have " + stored + " shards, not " + mShards + "; set that number";
        }
        mChecked = true;
        return "";
    }

    private String written(WriteResult result) {
        if (result instanceof WriteResult.Applied) {
            mChecked = true;
            return "";
        }
        return "the number of shards is being written";
    }
}
