package org.amaranthpick.core.claim;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.Scheduler;

/** Performs operations on the shards' journals in the store, creating a shard on first use. */
final class ClaimShards {
    private static final String PREFIX = "claims/shards/";

    private final ClaimSettings mSettings;
    private final ObjectStore mStore;
    private final WriterTokens mTokens;
    private final Scheduler mScheduler;
    private final ShardCountCheck mShardCountCheck;
    private final ClaimCounters mCounters = new ClaimCounters();
    private final Map<Integer, ClaimShard> mShards = new ConcurrentHashMap<>();

    ClaimShards(
            ClaimSettings settings, ObjectStore store, WriterTokens tokens, Scheduler scheduler) {
        mSettings = settings;
        mStore = store;
        mTokens = tokens;
        mScheduler = scheduler;
        mShardCountCheck = new ShardCountCheck(settings.shards(), store, tokens);
    }

    /**
     * Returns the prefix of the keys of a shard's objects.
     *
     * @param shard number of the shard
     * @return prefix with a trailing slash
     */
    static String prefix(int shard) {
        return PREFIX + shard + "/";
    }

    ClaimCounters counters() {
        return mCounters;
    }

    /**
     * Performs an operation on the journal of its shard.
     *
     * @param operation operation to perform
     * @param validFor time after which the operation fails
     * @return completes with the reply once the state that it reports is stored
     */
    CompletableFuture<ShardReply> perform(ClaimOperation operation, Duration validFor) {
        ClaimShard shard =
                mShards.computeIfAbsent(operation.key().shard(mSettings.shards()), this::open);
        return mShardCountCheck
                .check()
                .toCompletableFuture()
                .thenCompose(
                        refusal ->
                                refusal.isEmpty()
                                        ? shard.submit(operation, validFor)
                                        : CompletableFuture.completedFuture(
                                                ShardReply.notStored(refusal)));
    }

    private ClaimShard open(int shard) {
        JournalStore journalStore =
                new JournalStore(prefix(shard), mSettings, mStore, mTokens, mCounters);
        return new ClaimShard(mSettings, journalStore, mScheduler, mCounters);
    }
}
