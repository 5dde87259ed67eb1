package org.amaranthpick.core.config;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthpick.core.config.ConfigMessage.ChunkReply;
import org.amaranthpick.core.config.ConfigMessage.ChunkRequest;
import org.amaranthpick.core.config.ConfigMessage.RootReply;
import org.amaranthpick.core.config.ConfigMessage.RootRequest;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.time.Scheduler;

/**
 * Fetches one generation at a time, from a peer that has it or from the store. A source that does
 * not answer in time is replaced; chunks got so far are kept. Guarded by the lock of the service.
 */
final class ContentFetcher {
    private static final Duration STEP_TIMEOUT = Duration.ofMillis(600);
    private static final int MAX_ATTEMPTS = 8;
    private static final int STORE_EVERY = 3;
    private static final int CHUNKS_PER_REQUEST = 32;
    private static final int MAX_SINGLE_READS = 8;
    private static final int MAX_PEERS = 8;

    private final Object mLock;
    private final ConfigurationStore mStore;
    private final PeerNetwork mNetwork;
    private final Scheduler mScheduler;
    private final HeldContent mHeld;
    private final Consumer<Fetched> mDone;
    private final Deque<Identity> mPeers = new ArrayDeque<>();
    private final Map<String, byte[]> mChunks = new HashMap<>();
    private Optional<ConfigurationRoot> mRoot = Optional.empty();
    private Optional<Identity> mPeer = Optional.empty();
    private long mWanted;
    private long mFinished;
    private boolean mActive;
    private int mAttempt;
    private long mStep;
    private int mAwaited;

    /**
     * Content of one generation, whole.
     *
     * @param root its root
     * @param chunks its chunks
     * @param peer peer that gave it, empty if the store did
     */
    record Fetched(ConfigurationRoot root, Map<String, byte[]> chunks, Optional<Identity> peer) {}

    ContentFetcher(
            Object lock,
            ConfigurationStore store,
            PeerNetwork network,
            Scheduler scheduler,
            HeldContent held,
            Consumer<Fetched> done) {
        mLock = lock;
        mStore = store;
        mNetwork = network;
        mScheduler = scheduler;
        mHeld = held;
        mDone = done;
    }

    /** Wants a generation that a peer has. */
    void wantFromPeer(long generation, Identity peer) {
        if (generation <= heldGeneration()) {
            return;
        }
        mPeers.remove(peer);
        mPeers.addFirst(peer);
        while (mPeers.size() > MAX_PEERS) {
            mPeers.removeLast();
        }
        if (generation > mWanted || !mActive) {
            begin(generation);
            nextSource();
        }
    }

    /** Wants a generation whose root the store gave. */
    void wantFromStore(ConfigurationRoot root) {
        boolean newer = root.generation() > heldGeneration();
        if (newer && (root.generation() > mWanted || !mActive)) {
            begin(root.generation());
            mPeer = Optional.empty();
            mStep++;
            scheduleTimeout();
            onRoot(root);
        }
    }

    void onRootReply(Identity from, RootReply reply) {
        if (mActive && mRoot.isEmpty() && mPeer.equals(Optional.of(from))) {
            if (reply.root().isPresent() && reply.root().get().generation() >= mWanted) {
                onRoot(reply.root().get());
            } else {
                mPeers.remove(from);
                nextSource();
            }
        }
    }

    void onChunkReply(Identity from, ChunkReply reply) {
        if (!mActive || !mPeer.equals(Optional.of(from))) {
            return;
        }
        if (takeChunk(reply.digest(), reply.bytes())) {
            mAwaited--;
            if (mAwaited <= 0) {
                requestChunks();
            }
        } else if (reply.bytes().length == 0) {
            mPeers.remove(from);
            mRoot = Optional.empty();
            nextSource();
        }
    }

    private long heldGeneration() {
        long held = mHeld.root().map(ConfigurationRoot::generation).orElse(0L);
        return Math.max(held, mFinished);
    }

    private void begin(long generation) {
        mWanted = generation;
        mActive = true;
        mAttempt = 0;
        mRoot = Optional.empty();
    }

    private void nextSource() {
        mStep++;
        mAttempt++;
        if (mAttempt > MAX_ATTEMPTS) {
            mActive = false;
            return;
        }
        scheduleTimeout();
        boolean useStore = mPeers.isEmpty() || mAttempt % STORE_EVERY == 0;
        if (useStore) {
            mPeer = Optional.empty();
            readStoredRoot();
            return;
        }
        Identity peer = mPeers.removeFirst();
        mPeers.addLast(peer);
        mPeer = Optional.of(peer);
        mRoot = Optional.empty();
        mNetwork.send(peer, new RootRequest());
    }

    private void scheduleTimeout() {
        long step = mStep;
        mScheduler.schedule(
                STEP_TIMEOUT,
                () -> {
                    synchronized (mLock) {
                        if (mActive && step == mStep) {
                            nextSource();
                        }
                    }
                });
    }

    private void readStoredRoot() {
        long step = mStep;
        mStore.readRoot()
                .thenAccept(
                        result -> {
                            synchronized (mLock) {
                                if (step == mStep
                                        && result instanceof RootResult.Read read
                                        && read.root().isPresent()
                                        && read.root().get().generation() >= mWanted) {
                                    onRoot(read.root().get());
                                }
                            }
                        });
    }

    private void onRoot(ConfigurationRoot root) {
        mRoot = Optional.of(root);
        mWanted = root.generation();
        mChunks.keySet().retainAll(root.chunks());
        mChunks.putAll(mHeld.of(root));
        requestChunks();
    }

    private void requestChunks() {
        List<String> missing = HeldContent.missing(mRoot.get(), mChunks);
        mStep++;
        if (missing.isEmpty()) {
            finish();
            return;
        }
        scheduleTimeout();
        if (mPeer.isEmpty()) {
            readChunks(missing);
            return;
        }
        List<String> batch = missing.subList(0, Math.min(CHUNKS_PER_REQUEST, missing.size()));
        mAwaited = batch.size();
        mNetwork.send(mPeer.get(), new ChunkRequest(batch));
    }

    private void readChunks(List<String> missing) {
        long step = mStep;
        if (missing.size() > MAX_SINGLE_READS) {
            mStore.store()
                    .list(ConfigurationStore.CHUNK_PREFIX)
                    .thenAccept(result -> onListed(step, result));
            return;
        }
        for (String digest : missing) {
            mStore.readChunk(digest)
                    .thenAccept(bytes -> bytes.ifPresent(b -> onRead(step, digest, b)));
        }
    }

    private void onRead(long step, String digest, byte[] bytes) {
        synchronized (mLock) {
            if (step == mStep && takeChunk(digest, bytes)) {
                finishIfWhole();
            }
        }
    }

    private void onListed(long step, ListResult result) {
        synchronized (mLock) {
            if (step != mStep || !(result instanceof ListResult.Listed listed)) {
                return;
            }
            for (StoredObject object : listed.objects()) {
                String digest = object.key().substring(ConfigurationStore.CHUNK_PREFIX.length());
                takeChunk(digest, object.value());
            }
            finishIfWhole();
        }
    }

    private boolean takeChunk(String digest, byte[] bytes) {
        boolean wanted =
                mRoot.isPresent()
                        && mRoot.get().chunks().contains(digest)
                        && Sha256.hex(bytes).equals(digest);
        if (wanted) {
            mChunks.put(digest, bytes);
        }
        return wanted;
    }

    private void finishIfWhole() {
        if (HeldContent.missing(mRoot.get(), mChunks).isEmpty()) {
            finish();
        }
    }

    private void finish() {
        mStep++;
        mActive = false;
        mFinished = mRoot.get().generation();
        Fetched fetched = new Fetched(mRoot.get(), Map.copyOf(mChunks), mPeer);
        mRoot = Optional.empty();
        mChunks.clear();
        mDone.accept(fetched);
    }
}
