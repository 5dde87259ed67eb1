package org.amaranthpick.core.room;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.amaranthpick.core.layers.ChainStage;
import org.amaranthpick.core.layers.EngineChain;

/**
 * Room of chains by the reports of their engines, and by what this daemon has sent since. Designed
 * for waves of callers over many daemons: each sees a small part of the requests, so that its own
 * traffic does not tell which engines are full. Engines without a recent report count for nothing,
 * as only loaded ones are worth telling. Confined to one thread.
 */
public final class ReportedRoom implements RoomView {
    /** Age from which a report says nothing any more; requests last for seconds. */
    static final Duration MAX_AGE = Duration.ofSeconds(2);

    /** Time by which the engines' own figures lag behind their reports. */
    private static final Duration REPORT_LAG = Duration.ofMillis(200);

    private final Map<String, EngineLoad> mLoads = new HashMap<>();

    /** Requests that this daemon sent to each engine, as parts of its capacity. */
    private final Map<String, Deque<Sent>> mSent = new HashMap<>();

    private record Sent(double fill, long sentNs) {}

    /**
     * Records a load, unless a later one is known.
     *
     * @param load the load
     */
    public void onLoad(EngineLoad load) {
        EngineLoad known = mLoads.get(load.engineId());
        if (known == null || known.observedNs() < load.observedNs()) {
            mLoads.put(load.engineId(), load);
        }
    }

    /**
     * Forgets the loads that are too old. Called several times a second.
     *
     * @param nowNs monotonic time
     */
    public void forgetOld(long nowNs) {
        mLoads.values().removeIf(load -> !isRecent(load, nowNs));
    }

    /**
     * Records a request that this daemon sends.
     *
     * @param chain chain that runs it
     * @param tokens tokens that it will hold in the KV cache
     * @param nowNs monotonic time
     */
    public void onSent(EngineChain chain, double tokens, long nowNs) {
        for (ChainStage stage : chain.stages()) {
            Deque<Sent> sent = mSent.computeIfAbsent(stage.engine().id(), id -> new ArrayDeque<>());
            double tokenLayers = tokens * stage.layers().size();
            sent.addLast(new Sent(tokenLayers / Math.max(1, stage.kvTokenLayers()), nowNs));
        }
        mSent.values().forEach(sent -> forgetBefore(sent, nowNs - MAX_AGE.toNanos()));
        mSent.values().removeIf(Deque::isEmpty);
    }

    private static void forgetBefore(Deque<Sent> sent, long ns) {
        while (!sent.isEmpty() && sent.peekFirst().sentNs() < ns) {
            sent.removeFirst();
        }
    }

    /**
     * Returns how many engines are known to be loaded.
     *
     * @return number of engines that are loaded enough to be told to others
     */
    public int loadedEngines() {
        return (int)
                mLoads.values().stream()
                        .filter(load -> load.fill() >= RoomObserver.TOLD_FILL)
                        .count();
    }

    @Override
    public OptionalDouble fill(EngineChain chain, long nowNs) {
        return chain.stages().stream()
                .map(stage -> mLoads.get(stage.engine().id()))
                .filter(load -> load != null && isRecent(load, nowNs))
                .mapToDouble(load -> load.fill() + sentSince(load))
                .max();
    }

    private double sentSince(EngineLoad load) {
        Deque<Sent> sent = mSent.get(load.engineId());
        if (sent == null) {
            return 0;
        }
        long sinceNs = load.observedNs() - REPORT_LAG.toNanos();
        return sent.stream()
                .filter(request -> request.sentNs() >= sinceNs)
                .mapToDouble(Sent::fill)
                .sum();
    }

    private static boolean isRecent(EngineLoad load, long nowNs) {
        return nowNs - load.observedNs() <= MAX_AGE.toNanos();
    }
}
