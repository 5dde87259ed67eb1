package org.amaranthpick.core.claim;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.Scheduler;

/** The shards' journals in the platform's store, as this daemon reads and writes them. */
final class ShardStore {
    private static final String PATH = "claims/shards/";

    private final ClaimSettings mSettings;
    private final ObjectStore mStore;
    private final WriterTokens mTokens;
    private final Scheduler mScheduler;
    private final ClaimFormat mFormat;
    private final ClaimCounters mCounters = new ClaimCounters();
    private final Map<Integer, ClaimShard> mShards = new ConcurrentHashMap<>();

    ShardStore(
            ClaimSettings settings, ObjectStore store, WriterTokens tokens, Scheduler scheduler) {
        mSettings = settings;
        mStore = store;
        mTokens = tokens;
        mScheduler = scheduler;
        mFormat = new ClaimFormat(settings.shards(), store, tokens);
    }

    /**
     * Returns the path under which a shard's objects stand.
     *
     * @param shard number of the shard
     * @return path with a trailing slash
     */
    static String path(int shard) {
        return PATH + shard + "/";
    }

    ClaimCounters counters() {
        return mCounters;
    }

    /**
     * Performs an operation at the store.
     *
     * @param operation operation
     * @param validFor time after which it is given up
     * @return completes with the reply, once what it says is stored
     */
    CompletableFuture<ShardReply> perform(ClaimOperation operation, Duration validFor) {
        ClaimShard shard =
                mShards.computeIfAbsent(operation.key().shard(mSettings.shards()), this::open);
        return mFormat.check()
                .toCompletableFuture()
                .thenCompose(
                        fault ->
                                fault.isEmpty()
                                        ? shard.submit(operation, validFor)
                                        : CompletableFuture.completedFuture(
                                                ShardReply.notStored(fault)));
    }

    private ClaimShard open(int shard) {
        JournalFile file = new JournalFile(path(shard), mSettings, mStore, mTokens, mCounters);
        return new ClaimShard(mSettings, file, mScheduler, mCounters);
    }
}
