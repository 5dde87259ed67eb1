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
 * Checks this daemon's number of shards against the number in the store. All daemons must use the
 * same number, since daemons with different numbers would look for a key in different journals.
 */
final class ShardCountCheck {
    private static final String KEY = "claims/format";

    private final int mShards;
    private final ObjectStore mStore;
    private final WriterTokens mTokens;
    private volatile boolean mChecked;

    ShardCountCheck(int shards, ObjectStore store, WriterTokens tokens) {
        mShards = shards;
        mStore = store;
        mTokens = tokens;
    }

    /**
     * Checks the number of shards until it has matched once; stores it if none is stored.
     *
     * @return completes with the reason for refusing claims, empty if the number matches
     */
    CompletionStage<String> check() {
        if (mChecked) {
            return CompletableFuture.completedFuture("");
        }
        return mStore.read(KEY).thenCompose(this::onRead);
    }

    private CompletionStage<String> onRead(ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            return CompletableFuture.completedFuture(compare(found.object().value()));
        }
        if (result instanceof ReadResult.Missing) {
            byte[] value = Integer.toString(mShards).getBytes(StandardCharsets.UTF_8);
            return mStore.write(KEY, new WriteCondition.Absent(), value, mTokens.next())
                    .thenApply(this::onWritten);
        }
        return CompletableFuture.completedFuture("the store did not return the number of shards");
    }

    private String compare(byte[] value) {
        String stored = new String(value, StandardCharsets.UTF_8);
        if (!stored.equals(Integer.toString(mShards))) {
            return "the stored journals have "
                    + stored
                    + " shards, this daemon "
                    + mShards
                    + "; set the stored number";
        }
        mChecked = true;
        return "";
    }

    private String onWritten(WriteResult result) {
        if (result instanceof WriteResult.Applied) {
            mChecked = true;
            return "";
        }
        return "the number of shards could not be stored yet";
    }
}
