package org.amaranthpick.core.config;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterToken;

/**
 * Publishes one manifest: lists the stored chunks, writes those that the current root does not
 * reference, replaces the root by compare-and-set, and deletes the chunks that neither the new nor
 * the replaced root references.
 *
 * <p>A chunk that the current root does not reference is written again even if it is stored. This
 * changes its version, so that a concurrent publication that listed the chunk before cannot delete
 * it: deletion is conditional on the listed version.
 */
final class Publication {
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private final ConfigurationStore mStore;
    private final ManifestChunks mContent;
    private final OptionalLong mExpectGeneration;
    private final WriterToken mToken;
    private final long mDeadlineNs;
    private final CompletableFuture<PublishResult> mResult = new CompletableFuture<>();
    private final Map<String, Long> mListedVersions = new HashMap<>();
    private final Deque<String> mPendingChunks = new ArrayDeque<>();
    private Optional<ConfigurationRoot> mBaseRoot = Optional.empty();
    private long mBaseRootVersion;
    private int mChunksWritten;
    private boolean mRootMayBeWritten;

    Publication(
            ConfigurationStore store,
            ManifestChunks content,
            OptionalLong expectGeneration,
            WriterToken token) {
        mStore = store;
        mContent = content;
        mExpectGeneration = expectGeneration;
        mToken = token;
        mDeadlineNs =
                store.scheduler().monotonicNs() + ConfigurationStore.PUBLISH_TIMEOUT.toNanos();
    }

    CompletionStage<PublishResult> start() {
        readBaseRoot();
        return mResult;
    }

    private void readBaseRoot() {
        mStore.readRoot()
                .thenAccept(
                        result -> {
                            if (result instanceof RootResult.Read read) {
                                onBaseRoot(read);
                            } else {
                                retry(this::readBaseRoot, result.toString());
                            }
                        });
    }

    private void onBaseRoot(RootResult.Read read) {
        mBaseRoot = read.root();
        mBaseRootVersion = read.version();
        long current = mBaseRoot.map(ConfigurationRoot::generation).orElse(0L);
        if (mExpectGeneration.isPresent() && mExpectGeneration.getAsLong() != current) {
            mResult.complete(
                    mBaseRoot.isPresent()
                            ? new PublishResult.Conflict(mBaseRoot.get().latestAcceptance())
                            : new PublishResult.NothingStored(mExpectGeneration.getAsLong()));
            return;
        }
        if (mBaseRoot.isPresent() && mBaseRoot.get().digest().equals(mContent.digest())) {
            mResult.complete(new PublishResult.Unchanged(current, mContent.digest()));
            return;
        }
        listChunks();
    }

    private void listChunks() {
        mStore.store()
                .list(ConfigurationStore.CHUNK_PREFIX)
                .thenAccept(
                        result -> {
                            if (result instanceof ListResult.Listed listed) {
                                listed.objects().forEach(this::recordListedVersion);
                                mPendingChunks.addAll(mContent.chunks().keySet());
                                mBaseRoot.ifPresent(
                                        root -> root.chunks().forEach(this::skipStoredChunk));
                                writeNextChunk();
                            } else {
                                retry(this::listChunks, result.toString());
                            }
                        });
    }

    private void recordListedVersion(StoredObject object) {
        String digest = object.key().substring(ConfigurationStore.CHUNK_PREFIX.length());
        mListedVersions.put(digest, object.version());
    }

    private void skipStoredChunk(String digest) {
        if (mListedVersions.containsKey(digest)) {
            mPendingChunks.remove(digest);
        }
    }

    private void writeNextChunk() {
        String digest = mPendingChunks.peek();
        if (digest == null) {
            writeRoot();
            return;
        }
        Long version = mListedVersions.get(digest);
        WriteCondition condition =
                version == null
                        ? new WriteCondition.Absent()
                        : new WriteCondition.AtVersion(version);
        String key = ConfigurationStore.CHUNK_PREFIX + digest;
        mStore.store()
                .write(key, condition, mContent.chunks().get(digest), mToken)
                .thenAccept(result -> onChunkWritten(digest, result));
    }

    private void onChunkWritten(String digest, WriteResult result) {
        if (result instanceof WriteResult.Applied) {
            mPendingChunks.remove(digest);
            mChunksWritten++;
            writeNextChunk();
        } else if (result instanceof WriteResult.Conflict) {
            rereadChunk(digest);
        } else {
            retry(() -> rereadChunk(digest), result.toString());
        }
    }

    private void rereadChunk(String digest) {
        mStore.store()
                .read(ConfigurationStore.CHUNK_PREFIX + digest)
                .thenAccept(
                        result -> {
                            if (result instanceof ReadResult.Found found) {
                                onChunkReread(digest, found.object());
                            } else if (result instanceof ReadResult.Missing) {
                                mListedVersions.remove(digest);
                                retry(this::writeNextChunk, result.toString());
                            } else {
                                retry(() -> rereadChunk(digest), result.toString());
                            }
                        });
    }

    private void onChunkReread(String digest, StoredObject object) {
        if (object.writer().equals(Optional.of(mToken))) {
            onChunkWritten(digest, new WriteResult.Applied(object.version()));
            return;
        }
        mListedVersions.put(digest, object.version());
        retry(this::writeNextChunk, "another writer has written chunk " + digest);
    }

    private void writeRoot() {
        ConfigurationRoot root = ConfigurationRoot.next(mBaseRoot, mContent, mToken);
        WriteCondition condition =
                mBaseRoot.isEmpty()
                        ? new WriteCondition.Absent()
                        : new WriteCondition.AtVersion(mBaseRootVersion);
        mStore.store()
                .write(ConfigurationStore.ROOT_KEY, condition, root.toBytes(), mToken)
                .thenAccept(result -> onRootWritten(root, result));
    }

    private void onRootWritten(ConfigurationRoot root, WriteResult result) {
        if (result instanceof WriteResult.Applied) {
            completeAccepted(root.generation());
        } else if (result instanceof WriteResult.Conflict) {
            rereadRoot();
        } else {
            mRootMayBeWritten |= result instanceof WriteResult.Unknown;
            retry(this::rereadRoot, result.toString());
        }
    }

    /** Reads the root back to find out whether its write succeeded. */
    private void rereadRoot() {
        mStore.readRoot()
                .thenAccept(
                        result -> {
                            if (result instanceof RootResult.Read read) {
                                onRootReread(read);
                            } else {
                                retry(this::rereadRoot, result.toString());
                            }
                        });
    }

    private void onRootReread(RootResult.Read read) {
        if (read.version() == mBaseRootVersion) {
            retry(this::writeRoot, "the root has not been replaced");
            return;
        }
        Optional<ConfigurationRoot.Acceptance> own =
                read.root().flatMap(root -> root.findAcceptance(mToken));
        if (own.isPresent()) {
            completeAccepted(own.get().generation());
            return;
        }
        long attempted = mBaseRoot.map(ConfigurationRoot::generation).orElse(0L) + 1;
        if (read.root().isEmpty() || !read.root().get().historyIncludes(attempted)) {
            mResult.complete(
                    new PublishResult.Unsettled(
                            "the history of the root no longer includes this generation"));
            return;
        }
        mResult.complete(new PublishResult.Conflict(read.root().get().latestAcceptance()));
    }

    private void completeAccepted(long generation) {
        deleteUnusedChunks();
        mResult.complete(new PublishResult.Accepted(generation, mContent.digest(), mChunksWritten));
    }

    /**
     * Deletes the chunks that neither the new nor the replaced root references. A failed deletion
     * only leaves an unused chunk behind.
     */
    private void deleteUnusedChunks() {
        Set<String> referenced = new HashSet<>(mContent.chunks().keySet());
        mBaseRoot.ifPresent(root -> referenced.addAll(root.chunks()));
        mListedVersions.forEach(
                (digest, version) -> {
                    if (!referenced.contains(digest)) {
                        mStore.store().delete(ConfigurationStore.CHUNK_PREFIX + digest, version);
                    }
                });
    }

    private void retry(Runnable step, String reason) {
        if (mStore.scheduler().monotonicNs() < mDeadlineNs) {
            mStore.scheduler().schedule(RETRY_DELAY, step);
            return;
        }
        mResult.complete(
                mRootMayBeWritten
                        ? new PublishResult.Unsettled(reason)
                        : new PublishResult.Unavailable(reason));
    }
}
