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
 * One publication: list the chunks, write those that the present root does not hold, compare and
 * set the root, delete chunks that no recent root holds.
 *
 * <p>A chunk outside the present root is written again even if it exists. Its version then differs
 * from the one that another publication listed before its own root, so that the other's clean-up,
 * which is conditional on that version, cannot delete it.
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
    private final Deque<String> mToWrite = new ArrayDeque<>();
    private Optional<ConfigurationRoot> mBase = Optional.empty();
    private long mBaseVersion;
    private int mWritten;
    private boolean mMayBeApplied;

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

    CompletionStage<PublishResult> run() {
        readBase();
        return mResult;
    }

    private void readBase() {
        mStore.readRoot()
                .thenAccept(
                        result -> {
                            if (result instanceof RootResult.Read read) {
                                onBase(read);
                            } else {
                                retry(this::readBase, result.toString());
                            }
                        });
    }

    private void onBase(RootResult.Read read) {
        mBase = read.root();
        mBaseVersion = read.version();
        long present = mBase.map(ConfigurationRoot::generation).orElse(0L);
        if (mExpectGeneration.isPresent() && mExpectGeneration.getAsLong() != present) {
            mResult.complete(
                    mBase.isPresent()
                            ? new PublishResult.Conflict(mBase.get().accepted())
                            : new PublishResult.NothingStored(mExpectGeneration.getAsLong()));
            return;
        }
        if (mBase.isPresent() && mBase.get().digest().equals(mContent.digest())) {
            mResult.complete(new PublishResult.Unchanged(present, mContent.digest()));
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
                                listed.objects().forEach(this::noteListed);
                                mToWrite.addAll(mContent.chunks().keySet());
                                mBase.ifPresent(root -> root.chunks().forEach(this::keepChunk));
                                writeNextChunk();
                            } else {
                                retry(this::listChunks, result.toString());
                            }
                        });
    }

    private void noteListed(StoredObject object) {
        String digest = object.key().substring(ConfigurationStore.CHUNK_PREFIX.length());
        mListedVersions.put(digest, object.version());
    }

    private void keepChunk(String digest) {
        if (mListedVersions.containsKey(digest)) {
            mToWrite.remove(digest);
        }
    }

    private void writeNextChunk() {
        String digest = mToWrite.peek();
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
            mToWrite.remove(digest);
            mWritten++;
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
        retry(this::writeNextChunk, "another writer holds chunk " + digest);
    }

    private void writeRoot() {
        ConfigurationRoot root = ConfigurationRoot.next(mBase, mContent, mToken);
        WriteCondition condition =
                mBase.isEmpty()
                        ? new WriteCondition.Absent()
                        : new WriteCondition.AtVersion(mBaseVersion);
        mStore.store()
                .write(ConfigurationStore.ROOT_KEY, condition, root.toBytes(), mToken)
                .thenAccept(result -> onRootWritten(root, result));
    }

    private void onRootWritten(ConfigurationRoot root, WriteResult result) {
        if (result instanceof WriteResult.Applied) {
            accept(root.generation());
        } else if (result instanceof WriteResult.Conflict) {
            settle();
        } else {
            mMayBeApplied |= result instanceof WriteResult.Unknown;
            retry(this::settle, result.toString());
        }
    }

    /** Reads the root back to learn what became of a write whose answer does not tell. */
    private void settle() {
        mStore.readRoot()
                .thenAccept(
                        result -> {
                            if (result instanceof RootResult.Read read) {
                                onReadBack(read);
                            } else {
                                retry(this::settle, result.toString());
                            }
                        });
    }

    private void onReadBack(RootResult.Read read) {
        if (read.version() == mBaseVersion) {
            retry(this::writeRoot, "the root is as before");
            return;
        }
        Optional<ConfigurationRoot.Acceptance> own =
                read.root().flatMap(root -> root.acceptedBy(mToken));
        if (own.isPresent()) {
            accept(own.get().generation());
            return;
        }
        long wanted = mBase.map(ConfigurationRoot::generation).orElse(0L) + 1;
        if (read.root().isEmpty() || !read.root().get().remembers(wanted)) {
            mResult.complete(
                    new PublishResult.Unsettled("the history no longer holds this generation"));
            return;
        }
        mResult.complete(new PublishResult.Conflict(read.root().get().accepted()));
    }

    private void accept(long generation) {
        sweep();
        mResult.complete(new PublishResult.Accepted(generation, mContent.digest(), mWritten));
    }

    /** Deletes chunks that neither the new root nor the one before holds. Failures do no harm. */
    private void sweep() {
        Set<String> kept = new HashSet<>(mContent.chunks().keySet());
        mBase.ifPresent(root -> kept.addAll(root.chunks()));
        mListedVersions.forEach(
                (digest, version) -> {
                    if (!kept.contains(digest)) {
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
                mMayBeApplied
                        ? new PublishResult.Unsettled(reason)
                        : new PublishResult.Unavailable(reason));
    }
}
