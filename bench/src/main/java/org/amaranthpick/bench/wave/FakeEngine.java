package org.amaranthpick.bench.wave;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.function.BiConsumer;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.core.upstream.UpstreamStatus;

/**
 * Engine with continuous batching: each iteration runs every token that waits and a chunk of the
 * most urgent prompt. Prompt blocks seen before are not computed again.
 */
final class FakeEngine {
    private static final double CHUNK_SECONDS = 0.003;
    private static final int MIN_CHUNK_TOKENS = 16;
    private static final int BLOCK_TOKENS = 16;
    private static final int MAX_BLOCKS = 200_000;
    private static final double NS_PER_S = 1e9;

    private final UpstreamSpec mSpec;
    private final AcceleratorSpec mAccelerator;
    private final VirtualScheduler mScheduler;
    private final BiConsumer<FakeEngine, WaveRequest> mDone;
    private final Queue<WaveRequest> mDecode = new ArrayDeque<>();
    private final PriorityQueue<WaveRequest> mPrefill =
            new PriorityQueue<>(
                    Comparator.<WaveRequest>comparingInt(r -> -r.mPriority)
                            .thenComparingLong(r -> r.mSentNs));
    private final Set<Long> mBlocks = new HashSet<>();
    private boolean mRunning;
    private int mStreams;
    private long mQueuedTokens;

    FakeEngine(
            UpstreamSpec spec,
            VirtualScheduler scheduler,
            BiConsumer<FakeEngine, WaveRequest> done) {
        mSpec = spec;
        mAccelerator = spec.accelerator().orElseThrow();
        mScheduler = scheduler;
        mDone = done;
    }

    UpstreamSpec spec() {
        return mSpec;
    }

    /** Takes a prompt or a token for the hop that runs here. */
    void take(WaveRequest request) {
        if (request.isPrefill()) {
            mStreams++;
            request.mPrefillLeft = Math.max(1, request.mPromptTokens - cachedTokens(request));
            mQueuedTokens += request.mPrefillLeft;
            mPrefill.add(request);
        } else {
            mDecode.add(request);
        }
        start();
    }

    void end() {
        mStreams--;
    }

    UpstreamStatus status() {
        return new UpstreamStatus(
                "boot",
                0,
                false,
                mSpec.initialHoldings(),
                mStreams,
                mQueuedTokens,
                1L << 30,
                Optional.empty(),
                0);
    }

    private int cachedTokens(WaveRequest request) {
        int blocks = 0;
        for (Long hash : request.mPrefixHashes) {
            if (!mBlocks.contains(hash)) {
                break;
            }
            blocks++;
        }
        return blocks * BLOCK_TOKENS;
    }

    private void start() {
        if (mRunning || (mDecode.isEmpty() && mPrefill.isEmpty())) {
            return;
        }
        mRunning = true;
        List<WaveRequest> tokens = new ArrayList<>(mDecode);
        mDecode.clear();
        double seconds = 0;
        int layers = 1;
        for (WaveRequest request : tokens) {
            int size = request.hop().layers().size();
            seconds += size / mAccelerator.decodeLayerTokensPerSecond();
            layers = Math.max(layers, size);
        }
        int budget = chunkTokens();
        while (budget > 0 && !mPrefill.isEmpty()) {
            WaveRequest request = mPrefill.peek();
            int size = request.hop().layers().size();
            int chunk = Math.min(budget, request.mPrefillLeft);
            seconds += chunk * (double) size / mAccelerator.prefillLayerTokensPerSecond();
            layers = Math.max(layers, size);
            request.mPrefillLeft -= chunk;
            mQueuedTokens -= chunk;
            budget -= chunk;
            if (request.mPrefillLeft == 0) {
                tokens.add(mPrefill.poll());
            }
        }
        long floorNs = mAccelerator.layerTimeNs() * layers;
        long ns = Math.max(floorNs, (long) (seconds * NS_PER_S));
        var unused = mScheduler.schedule(Duration.ofNanos(ns), () -> finish(tokens));
    }

    private int chunkTokens() {
        int layers = mSpec.initialHoldings().get(0).layers().size();
        double tokens = CHUNK_SECONDS * mAccelerator.prefillLayerTokensPerSecond() / layers;
        return Math.max(MIN_CHUNK_TOKENS, (int) tokens);
    }

    private void finish(List<WaveRequest> tokens) {
        mRunning = false;
        for (WaveRequest request : tokens) {
            if (request.isPrefill() && mBlocks.size() < MAX_BLOCKS) {
                mBlocks.addAll(request.mPrefixHashes);
            }
            mDone.accept(this, request);
        }
        start();
    }
}
