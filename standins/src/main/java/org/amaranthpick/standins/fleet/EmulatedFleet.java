package org.amaranthpick.standins.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.layers.ChainStage;
import org.amaranthpick.core.layers.EngineChain;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.time.Scheduler;

/**
 * Engines of a fleet on virtual time. Plays what decides how a request fares: the time of a pass by
 * card and batch, memory for requests with the newest put back when it runs out, pipes between
 * failure domains, engines that die, turn slow and come back empty.
 */
public final class EmulatedFleet {
    /** Time after which a report shows what an engine waits for. */
    public static final Duration REPORT_LAG = Duration.ofMillis(200);

    /** Time after which work that depends on a dead engine is cut off. */
    private static final Duration STALL = Duration.ofMillis(2500);

    /** Time after which a silent engine is gone from the register. */
    private static final Duration EXPIRY = Duration.ofMillis(3600);

    /** Engines that come back are in the register within this time. */
    private static final Duration HEARTBEAT = Duration.ofMillis(1200);

    private static final double IN_DOMAIN_MS = 0.1;
    private static final double CROSS_DOMAIN_MS = 0.25;
    private static final double NS_PER_MS = 1e6;
    private static final double BITS_PER_BYTE = 8;

    /** Bits that one Mbit/s carries in a ms. */
    private static final double BITS_PER_MBPS_MS = 1000;

    /** Part of the slots that may wait at a first engine before it refuses. */
    private static final double QUEUE_PER_SLOT = 0.5;

    private final FleetShape mShape;
    private final Scheduler mScheduler;
    private final Map<String, EmulatedEngine> mEngines = new LinkedHashMap<>();
    private final List<EmulatedStream> mWaiting = new ArrayList<>();
    private final Map<String, Integer> mInFirst = new HashMap<>();
    private final Map<String, Long> mPipeFreeNs = new HashMap<>();
    private double mPipeFactor = 1;
    private int mPreemptions;
    private boolean mAdmitting;

    /**
     * Creates the engines, all empty.
     *
     * @param shape shape of the fleet
     * @param scheduler virtual time
     */
    public EmulatedFleet(FleetShape shape, Scheduler scheduler) {
        mShape = shape;
        mScheduler = scheduler;
        int number = 0;
        for (EngineGroup group : shape.engines()) {
            for (int i = 0; i < group.count(); i++) {
                UpstreamEntry entry = entry("e" + number++, group.domain(), group.card());
                mEngines.put(entry.id(), new EmulatedEngine(shape.model(), entry, scheduler));
            }
        }
    }

    private UpstreamEntry entry(String id, String domain, String card) {
        return new UpstreamEntry(
                id,
                mShape.name(),
                id + ":1",
                domain,
                false,
                mShape.model().slots(),
                Optional.of(card),
                Optional.empty(),
                mScheduler.instant().toEpochMilli(),
                0);
    }

    EngineModel model() {
        return mShape.model();
    }

    /**
     * Returns what the register shows: a silent engine stays there for a while, and one that comes
     * back is missing for a while.
     *
     * @return entries
     */
    public List<UpstreamEntry> registered() {
        return mEngines.values().stream()
                .filter(EmulatedEngine::registered)
                .map(EmulatedEngine::entry)
                .toList();
    }

    /**
     * Lets an engine begin to load layers: memory for those that it lacks is taken at once.
     *
     * @param id id of the engine
     * @param layers layers that it is to hold
     */
    public void beginLoad(String id, LayerRange layers) {
        EmulatedEngine engine = mEngines.get(id);
        int added = 0;
        for (int layer = layers.from(); layer < layers.to(); layer++) {
            LayerRange one = new LayerRange(layer, layer + 1);
            added += engine.entry().layers().filter(held -> held.contains(one)).isEmpty() ? 1 : 0;
        }
        engine.reserveLayers(added);
        while (engine.overfull() && engine.newest().isPresent()) {
            preempt(engine.newest().get());
        }
    }

    /**
     * Lets an engine hold layers from now on.
     *
     * @param id id of the engine
     * @param layers layers
     */
    public void hold(String id, LayerRange layers) {
        EmulatedEngine engine = mEngines.get(id);
        engine.reserveLayers(0);
        engine.setEntry(engine.entry().withLayers(Optional.of(layers)));
    }

    /**
     * Lets an engine fall silent.
     *
     * @param id id of the engine
     */
    public void kill(String id) {
        EmulatedEngine engine = mEngines.get(id);
        List<EmulatedStream> lost = engine.die();
        long nowNs = mScheduler.monotonicNs();
        engine.setRegistered(Long.MIN_VALUE, nowNs + EXPIRY.toNanos());
        lost.forEach(stream -> stream.lose(id, nowNs));
        mScheduler.schedule(STALL, () -> lost.forEach(EmulatedStream::breakOff));
    }

    /**
     * Lets a dead engine start again, empty.
     *
     * @param id id of the engine
     */
    public void restart(String id) {
        UpstreamEntry old = mEngines.get(id).entry();
        comeBack(id, entry(id, old.domain(), old.card().orElseThrow()));
    }

    /**
     * Lets an engine that was cut off be reached again, with the layers that it holds.
     *
     * @param id id of the engine
     */
    public void reconnect(String id) {
        comeBack(id, mEngines.get(id).entry());
    }

    private void comeBack(String id, UpstreamEntry entry) {
        EmulatedEngine engine = mEngines.get(id);
        engine.revive(entry);
        long waitMs = Math.floorMod(id.hashCode(), HEARTBEAT.toMillis());
        engine.setRegistered(
                mScheduler.monotonicNs() + Duration.ofMillis(waitMs).toNanos(), Long.MAX_VALUE);
    }

    /**
     * Sets how much longer an engine takes.
     *
     * @param id id of the engine
     * @param factor 1 as usual
     */
    public void slow(String id, double factor) {
        mEngines.get(id).setSlowness(factor);
    }

    /**
     * Sets the bandwidth of the pipes between failure domains.
     *
     * @param factor fraction of the usual one
     */
    public void setPipes(double factor) {
        mPipeFactor = factor;
    }

    /**
     * Sends a request.
     *
     * @param chain chain that it names
     * @param promptTokens tokens to read, those of events already sent included
     * @param answerTokens tokens to write
     * @param listener told what comes
     * @return the stream
     */
    public EmulatedStream send(
            EngineChain chain,
            int promptTokens,
            int answerTokens,
            EmulatedStream.Listener listener) {
        EmulatedStream stream =
                new EmulatedStream(this, chain, promptTokens, answerTokens, listener);
        String first = chain.firstEngine().id();
        int inFirst = mInFirst.getOrDefault(first, 0);
        if (inFirst >= mShape.model().slots() * (1 + QUEUE_PER_SLOT)) {
            mScheduler.schedule(Duration.ZERO, stream::refuse);
            return stream;
        }
        mInFirst.put(first, inFirst + 1);
        stream.take();
        mWaiting.add(stream);
        admitSoon();
        return stream;
    }

    /**
     * Tells what a stream waits for in vain, as a report of its first engine would.
     *
     * @param stream the stream
     * @return id of the dead engine, empty if there is none or the report does not show it yet
     */
    public Optional<String> stalledAt(EmulatedStream stream) {
        if (stream.lostAt().isPresent()) {
            long sinceNs = mScheduler.monotonicNs() - stream.lostNs();
            return sinceNs > REPORT_LAG.toNanos() ? stream.lostAt() : Optional.empty();
        }
        return stream.stages().stream()
                .map(stage -> stage.engine().id())
                .filter(id -> !stream.holdsMemory() && mEngines.get(id).dead())
                .findFirst();
    }

    /**
     * Counts the streams that were put back since memory ran out.
     *
     * @return count since the start
     */
    public int preemptions() {
        return mPreemptions;
    }

    void work(EmulatedStream stream, ChainStage stage, int readTokens, Runnable then) {
        mEngines.get(stage.engine().id())
                .enqueue(new PassWork(stream, stage.layers().size(), readTokens, then));
    }

    void hop(EngineChain chain, int stage, int tokens, Runnable then) {
        String from = chain.stages().get(stage).engine().domain();
        String to = chain.stages().get(stage + 1).engine().domain();
        if (from.equals(to)) {
            mScheduler.schedule(ofMillis(IN_DOMAIN_MS), then);
            return;
        }
        double bits = mShape.model().activationBytes() * tokens * BITS_PER_BYTE;
        double mbps = mShape.model().pipeMbps() * mPipeFactor;
        double transferMs = bits / (mbps * BITS_PER_MBPS_MS);
        String pipe = from.compareTo(to) < 0 ? from + "/" + to : to + "/" + from;
        long nowNs = mScheduler.monotonicNs();
        long startNs = Math.max(nowNs, mPipeFreeNs.getOrDefault(pipe, 0L));
        long endNs = startNs + (long) (transferMs * NS_PER_MS);
        mPipeFreeNs.put(pipe, endNs);
        mScheduler.schedule(Duration.ofNanos(endNs - nowNs).plus(ofMillis(CROSS_DOMAIN_MS)), then);
    }

    void grow(EmulatedStream stream, int tokens) {
        for (ChainStage stage : stream.stages()) {
            EmulatedEngine engine = mEngines.get(stage.engine().id());
            engine.reserve(stream, (double) tokens * stage.layers().size());
        }
        for (ChainStage stage : stream.stages()) {
            EmulatedEngine engine = mEngines.get(stage.engine().id());
            if (engine.overfull()) {
                engine.newest().ifPresent(this::preempt);
            }
        }
    }

    private void preempt(EmulatedStream newest) {
        mPreemptions++;
        releaseMemory(newest);
        newest.stop();
        mWaiting.add(0, newest);
        admitSoon();
    }

    void onOver(EmulatedStream stream) {
        releaseMemory(stream);
        mWaiting.remove(stream);
        mInFirst.merge(stream.chain().firstEngine().id(), -1, Integer::sum);
        admitSoon();
    }

    private void releaseMemory(EmulatedStream stream) {
        if (!stream.holdsMemory()) {
            return;
        }
        stream.setHoldsMemory(false);
        for (ChainStage stage : stream.stages()) {
            mEngines.get(stage.engine().id())
                    .release(stream, (double) stream.contextTokens() * stage.layers().size());
        }
    }

    private void admitSoon() {
        if (!mAdmitting) {
            mAdmitting = true;
            mScheduler.schedule(Duration.ZERO, this::admit);
        }
    }

    private void admit() {
        mAdmitting = false;
        for (EmulatedStream stream : List.copyOf(mWaiting)) {
            if (stream.stages().stream().allMatch(stage -> fits(stream, stage))) {
                mWaiting.remove(stream);
                stream.setHoldsMemory(true);
                for (ChainStage stage : stream.stages()) {
                    mEngines.get(stage.engine().id())
                            .reserve(
                                    stream,
                                    (double) stream.contextTokens() * stage.layers().size());
                }
                stream.begin();
            }
        }
    }

    private boolean fits(EmulatedStream stream, ChainStage stage) {
        EmulatedEngine engine = mEngines.get(stage.engine().id());
        return !engine.dead()
                && engine.fits((double) stream.contextTokens() * stage.layers().size());
    }

    private static Duration ofMillis(double ms) {
        return Duration.ofNanos((long) (ms * NS_PER_MS));
    }
}
