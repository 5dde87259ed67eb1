package org.amaranthpick.core.config;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthpick.core.config.ConfigurationMessage.ChunkReply;
import org.amaranthpick.core.config.ConfigurationMessage.ChunkRequest;
import org.amaranthpick.core.config.ConfigurationMessage.RootReply;
import org.amaranthpick.core.config.ConfigurationMessage.RootRequest;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.time.Scheduler;

/**
 * Fetches one generation at a time, from a peer that has it or from the store. If a source does not
 * answer in time, the fetch continues with another one and keeps the chunks received so far.
 * Guarded by the lock of the service.
 */
final class ContentFetcher {
    private static final Duration STEP_TIMEOUT = Duration.ofMillis(600);
    private static final int MAX_ATTEMPTS = 8;
    private static final int ATTEMPTS_PER_STORE_READ = 3;
    private static final int CHUNKS_PER_REQUEST = 32;
    private static final int MAX_CHUNK_READS = 8;
    private static final int MAX_CANDIDATE_PEERS = 8;

    private final Object mLock;
    private final ConfigurationStore mStore;
    private final PeerNetwork mNetwork;
    private final Scheduler mScheduler;
    private final CurrentContent mCurrentContent;
    private final Consumer<FetchedContent> mOnFetched;
    private final Deque<Identity> mCandidatePeers = new ArrayDeque<>();
    private final Map<String, byte[]> mChunks = new HashMap<>();
    private Optional<ConfigurationRoot> mRoot = Optional.empty();
    private Optional<Identity> mSourcePeer = Optional.empty();
    private long mTargetGeneration;
    private long mFetchedGeneration;
    private boolean mActive;
    private int mAttempts;
    private long mStepNumber;
    private int mAwaitedChunks;

    /**
     * Complete content of one generation.
     *
     * @param root root of the generation
     * @param chunks content of the chunks by digest
     * @param peer peer that it was fetched from, empty if it came from the store
     */
    record FetchedContent(
            ConfigurationRoot root, Map<String, byte[]> chunks, Optional<Identity> peer) {}

    ContentFetcher(
            Object lock,
            ConfigurationStore store,
            PeerNetwork network,
            Scheduler scheduler,
            CurrentContent currentContent,
            Consumer<FetchedContent> onFetched) {
        mLock = lock;
        mStore = store;
        mNetwork = network;
        mScheduler = scheduler;
        mCurrentContent = currentContent;
        mOnFetched = onFetched;
    }

    /**
     * Adds a peer that has a generation as a source. Starts to fetch the generation unless it or a
     * newer one is fetched or being fetched.
     */
    void fetchFromPeer(long generation, Identity peer) {
        if (generation <= newestFetchedGeneration()) {
            return;
        }
        mCandidatePeers.remove(peer);
        mCandidatePeers.addFirst(peer);
        while (mCandidatePeers.size() > MAX_CANDIDATE_PEERS) {
            mCandidatePeers.removeLast();
        }
        if (generation > mTargetGeneration || !mActive) {
            beginFetch(generation);
            tryNextSource();
        }
    }

    /**
     * Fetches the chunks of a root that was read from the store, unless this generation or a newer
     * one is fetched or being fetched.
     */
    void fetchFromStore(ConfigurationRoot root) {
        boolean newer = root.generation() > newestFetchedGeneration();
        if (newer && (root.generation() > mTargetGeneration || !mActive)) {
            beginFetch(root.generation());
            mSourcePeer = Optional.empty();
            mStepNumber++;
            scheduleTimeout();
            useRoot(root);
        }
    }

    void onRootReply(Identity from, RootReply reply) {
        if (mActive && mRoot.isEmpty() && mSourcePeer.equals(Optional.of(from))) {
            if (reply.root().isPresent() && reply.root().get().generation() >= mTargetGeneration) {
                useRoot(reply.root().get());
            } else {
                mCandidatePeers.remove(from);
                tryNextSource();
            }
        }
    }

    void onChunkReply(Identity from, ChunkReply reply) {
        if (!mActive || !mSourcePeer.equals(Optional.of(from))) {
            return;
        }
        if (addChunk(reply.digest(), reply.bytes())) {
            mAwaitedChunks--;
            if (mAwaitedChunks <= 0) {
                requestChunks();
            }
        } else if (reply.bytes().length == 0) {
            mCandidatePeers.remove(from);
            mRoot = Optional.empty();
            tryNextSource();
        }
    }

    private long newestFetchedGeneration() {
        long current = mCurrentContent.root().map(ConfigurationRoot::generation).orElse(0L);
        return Math.max(current, mFetchedGeneration);
    }

    private void beginFetch(long generation) {
        mTargetGeneration = generation;
        mActive = true;
        mAttempts = 0;
        mRoot = Optional.empty();
    }

    private void tryNextSource() {
        mStepNumber++;
        mAttempts++;
        if (mAttempts > MAX_ATTEMPTS) {
            mActive = false;
            return;
        }
        scheduleTimeout();
        boolean useStore = mCandidatePeers.isEmpty() || mAttempts % ATTEMPTS_PER_STORE_READ == 0;
        if (useStore) {
            mSourcePeer = Optional.empty();
            readStoredRoot();
            return;
        }
        Identity peer = mCandidatePeers.removeFirst();
        mCandidatePeers.addLast(peer);
        mSourcePeer = Optional.of(peer);
        mRoot = Optional.empty();
        mNetwork.send(peer, new RootRequest());
    }

    private void scheduleTimeout() {
        long stepNumber = mStepNumber;
        mScheduler.schedule(
                STEP_TIMEOUT,
                () -> {
                    synchronized (mLock) {
                        if (mActive && stepNumber == mStepNumber) {
                            tryNextSource();
                        }
                    }
                });
    }

    private void readStoredRoot() {
        long stepNumber = mStepNumber;
        mStore.readRoot()
                .thenAccept(
                        result -> {
                            synchronized (mLock) {
                                if (stepNumber == mStepNumber
                                        && result instanceof RootResult.Read read
                                        && read.root().isPresent()
                                        && read.root().get().generation() >= mTargetGeneration) {
                                    useRoot(read.root().get());
                                }
                            }
                        });
    }

    private void useRoot(ConfigurationRoot root) {
        mRoot = Optional.of(root);
        mTargetGeneration = root.generation();
        mChunks.keySet().retainAll(root.chunks());
        mChunks.putAll(mCurrentContent.chunksOf(root));
        requestChunks();
    }

    private void requestChunks() {
        List<String> missing = CurrentContent.missingChunks(mRoot.get(), mChunks);
        mStepNumber++;
        if (missing.isEmpty()) {
            finish();
            return;
        }
        scheduleTimeout();
        if (mSourcePeer.isEmpty()) {
            readChunks(missing);
            return;
        }
        List<String> batch = missing.subList(0, Math.min(CHUNKS_PER_REQUEST, missing.size()));
        mAwaitedChunks = batch.size();
        mNetwork.send(mSourcePeer.get(), new ChunkRequest(batch));
    }

    private void readChunks(List<String> missing) {
        long stepNumber = mStepNumber;
        if (missing.size() > MAX_CHUNK_READS) {
            mStore.store()
                    .list(ConfigurationStore.CHUNK_PREFIX)
                    .thenAccept(result -> onChunksListed(stepNumber, result));
            return;
        }
        for (String digest : missing) {
            mStore.readChunk(digest)
                    .thenAccept(bytes -> bytes.ifPresent(b -> onChunkRead(stepNumber, digest, b)));
        }
    }

    private void onChunkRead(long stepNumber, String digest, byte[] bytes) {
        synchronized (mLock) {
            if (stepNumber == mStepNumber && addChunk(digest, bytes)) {
                finishIfComplete();
            }
        }
    }

    private void onChunksListed(long stepNumber, ListResult result) {
        synchronized (mLock) {
            if (stepNumber != mStepNumber || !(result instanceof ListResult.Listed listed)) {
                return;
            }
            for (StoredObject object : listed.objects()) {
                String digest = object.key().substring(ConfigurationStore.CHUNK_PREFIX.length());
                addChunk(digest, object.value());
            }
            finishIfComplete();
        }
    }

    private boolean addChunk(String digest, byte[] bytes) {
        boolean wanted =
                mRoot.isPresent()
                        && mRoot.get().chunks().contains(digest)
                        && Sha256.hex(bytes).equals(digest);
        if (wanted) {
            mChunks.put(digest, bytes);
        }
        return wanted;
    }

    private void finishIfComplete() {
        if (CurrentContent.missingChunks(mRoot.get(), mChunks).isEmpty()) {
            finish();
        }
    }

    private void finish() {
        mStepNumber++;
        mActive = false;
        mFetchedGeneration = mRoot.get().generation();
        FetchedContent fetched = new FetchedContent(mRoot.get(), Map.copyOf(mChunks), mSourcePeer);
        mRoot = Optional.empty();
        mChunks.clear();
        mOnFetched.accept(fetched);
    }
}
