package org.amaranthpick.standins.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.gateway.CardKind;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.time.Scheduler;

/** One engine: works in passes over all that waits, and holds the memory of its streams. */
final class EmulatedEngine {
    /** Prompt tokens read in one step beside the writers at most, as is usual for engines. */
    private static final int CHUNK_TOKENS = 512;

    private static final double NS_PER_MS = 1e6;
    private static final double MS_PER_S = 1000;
    private static final double TOKENS_PER_K = 1000;

    private final EngineModel mModel;
    private final CardKind mCard;
    private final Scheduler mScheduler;
    private final Deque<PassWork> mWaiting = new ArrayDeque<>();
    private final Set<EmulatedStream> mStreams = new LinkedHashSet<>();
    private UpstreamEntry mEntry;
    private double mUsedTokenLayers;
    private double mSlowness = 1;
    private int mLoadingLayers;
    private long mRegisteredFromNs;
    private long mRegisteredUntilNs = Long.MAX_VALUE;
    private boolean mWorking;
    private boolean mDead;

    EmulatedEngine(EngineModel model, UpstreamEntry entry, Scheduler scheduler) {
        mModel = model;
        mEntry = entry;
        mCard = model.cards().get(entry.card().orElseThrow());
        mScheduler = scheduler;
    }

    UpstreamEntry entry() {
        return mEntry;
    }

    void setEntry(UpstreamEntry entry) {
        mEntry = entry;
    }

    void setSlowness(double factor) {
        mSlowness = factor;
    }

    boolean dead() {
        return mDead;
    }

    /** Falls silent; all work there is lost. Returns the streams that passed through it. */
    List<EmulatedStream> die() {
        List<EmulatedStream> lost = List.copyOf(mStreams);
        mDead = true;
        mWaiting.clear();
        mStreams.clear();
        mUsedTokenLayers = 0;
        return lost;
    }

    void revive(UpstreamEntry entry) {
        mDead = false;
        mEntry = entry;
    }

    /** Takes memory for layers that are being loaded, beside those held. */
    void reserveLayers(int layers) {
        mLoadingLayers = layers;
    }

    boolean registered() {
        long nowNs = mScheduler.monotonicNs();
        return nowNs >= mRegisteredFromNs && nowNs < mRegisteredUntilNs;
    }

    void setRegistered(long fromNs, long untilNs) {
        mRegisteredFromNs = fromNs;
        mRegisteredUntilNs = untilNs;
    }

    double capacityTokenLayers() {
        int held = mEntry.layers().map(layers -> layers.size()).orElse(0);
        double freeMb = mCard.memoryMb() - (held + mLoadingLayers) * mModel.layerMb();
        return freeMb / mModel.kvMbPerLayer(1);
    }

    boolean fits(double tokenLayers) {
        return mUsedTokenLayers + tokenLayers <= capacityTokenLayers();
    }

    boolean overfull() {
        return mUsedTokenLayers > capacityTokenLayers();
    }

    void reserve(EmulatedStream stream, double tokenLayers) {
        if (mDead) {
            return;
        }
        mStreams.add(stream);
        mUsedTokenLayers += tokenLayers;
    }

    void release(EmulatedStream stream, double tokenLayers) {
        if (mStreams.remove(stream)) {
            mUsedTokenLayers -= tokenLayers;
            mWaiting.removeIf(work -> work.stream() == stream);
        }
    }

    /** The stream that came last, which gives way when memory runs out. */
    Optional<EmulatedStream> newest() {
        EmulatedStream newest = null;
        for (EmulatedStream stream : mStreams) {
            newest = stream;
        }
        return Optional.ofNullable(newest);
    }

    void enqueue(PassWork work) {
        if (!mDead) {
            mWaiting.addLast(work);
            startPass();
        }
    }

    private void startPass() {
        if (mWorking || mDead || mWaiting.isEmpty()) {
            return;
        }
        mWorking = true;
        int chunk = CHUNK_TOKENS * mModel.tokensPerEvent();
        double readMs = 0;
        double writeMs = 0;
        int widest = 0;
        List<PassWork> taken = new ArrayList<>(mWaiting);
        mWaiting.clear();
        for (PassWork work : taken) {
            double share = (double) work.layers() / mModel.layers();
            if (work.reads()) {
                int tokens = work.takeRead(chunk);
                chunk -= tokens;
                readMs += MS_PER_S * tokens / mModel.readTokensPerSecond() * share;
            } else {
                widest = Math.max(widest, work.layers());
                double contextK = work.stream().contextTokens() / TOKENS_PER_K;
                writeMs +=
                        (mModel.stepMsPerSequence() + mModel.stepMsPerContextK() * contextK)
                                * share;
            }
        }
        double steps = widest == 0 ? 0 : mModel.tokensPerEvent();
        writeMs += mModel.stepMs() * widest / mModel.layers();
        double passMs = steps * writeMs * mCard.stepFactor() + readMs * mCard.readFactor();
        mScheduler.schedule(
                Duration.ofNanos((long) (passMs * mSlowness * NS_PER_MS)), () -> finish(taken));
    }

    private void finish(List<PassWork> taken) {
        mWorking = false;
        if (mDead) {
            return;
        }
        List<PassWork> done = new ArrayList<>();
        for (PassWork work : taken) {
            if (!mStreams.contains(work.stream())) {
                continue;
            }
            if (work.reads()) {
                mWaiting.addLast(work);
            } else {
                done.add(work);
            }
        }
        done.forEach(PassWork::done);
        startPass();
    }
}
