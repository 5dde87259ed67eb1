package org.amaranthpick.server.gateway;

import com.fasterxml.jackson.core.type.TypeReference;
import com.google.common.flogger.FluentLogger;
import io.undertow.Handlers;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.StatusCodes;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.gateway.BodyMemory;
import org.amaranthpick.core.gateway.LeastLoadedTargetPolicy;
import org.amaranthpick.core.gateway.admission.ChainRoom;
import org.amaranthpick.core.gateway.admission.LoadAdmission;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.layers.CachingEngineControl;
import org.amaranthpick.core.layers.EngineControl;
import org.amaranthpick.core.layers.LayerPlacementController;
import org.amaranthpick.core.placement.LeaseContext;
import org.amaranthpick.core.placement.LeaseManager;
import org.amaranthpick.core.quarantine.PromptQuarantine;
import org.amaranthpick.core.quarantine.QuarantineGossip;
import org.amaranthpick.core.quarantine.QuarantineMessage;
import org.amaranthpick.core.quarantine.QuarantineRecords;
import org.amaranthpick.core.register.DaemonCounter;
import org.amaranthpick.core.register.HealthGossip;
import org.amaranthpick.core.register.HealthNote;
import org.amaranthpick.core.register.LeavingNotices;
import org.amaranthpick.core.register.RequestRateLimits;
import org.amaranthpick.core.register.UpstreamAdmission;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.WatchPacing;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.TaskGuard;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.xnio.XnioWorker;

/** Gateway daemon: HTTP listeners, store followers and the placement of layers. */
public final class Gateway implements AutoCloseable {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private static final String HEALTH_NOTES_PATH = "/health-notes";
    private static final String QUARANTINE_PATH = "/quarantine";
    private static final Duration CONTROL_PERIOD = Duration.ofMillis(250);

    private static final String LEASE_NAME = "layers";

    private final GatewaySettings mSettings;
    private final Invariants mInvariants = new Invariants();
    private final GatewayMetrics mMetrics = new GatewayMetrics(mInvariants);
    private final BodyMemory mBodyMemory = BodyMemory.ofHeap(Runtime.getRuntime().maxMemory());
    private final XnioWorker mWorker;
    private final GatewayListeners mListeners;
    private final StopSequence mStop;
    private final PlannedWork mPlanned;
    private final IoThreadScheduler mScheduler;
    private final ConfigurationFollower mConfiguration;
    private final RegisterFollower mRegisterFollower;
    private final StoreFollowing mStoreFollowing;
    private final DaemonCounter mDaemonCounter;
    private final LeaseManager mLease;
    private final LeaseCandidacy mCandidacy;
    private final LayerPlacementController mLayerPlacement;
    private final HttpConnector mPeerConnector;
    private final UpstreamReach mReach;
    private final RoomObservation mRoomObservation;
    private final PeerMessageLink<HealthNote[]> mHealthLink;
    private final PeerMessageLink<QuarantineMessage> mQuarantineLink;
    private final QuarantineGossip mQuarantineGossip;
    private final QuarantineRecords mQuarantineRecords;
    private final GatewayHandler mHandler;
    private final RandomGenerator mRandom;
    private boolean mDraining;
    private boolean mClosed;
    private boolean mQuarantineRequested;

    /**
     * Creates a gateway; {@link #start()} starts it.
     *
     * @param settings settings
     * @param worker XNIO worker with a single I/O thread
     * @param scheduler scheduler on that I/O thread
     * @param store object store of the platform
     * @param pacing receives the number of daemons that watch the store
     * @param decoder decodes the objects in the store
     * @param dialect HTTP headers used by callers and upstreams
     * @param engines creates the control of the engines, given what sends its queries
     * @param decisions log of lease decisions
     * @param random source of random choices and jitter
     */
    public Gateway(
            GatewaySettings settings,
            XnioWorker worker,
            IoThreadScheduler scheduler,
            ObjectStore store,
            WatchPacing pacing,
            GatewayDecoder decoder,
            GatewayDialect dialect,
            Function<UpstreamSender, EngineControl> engines,
            DecisionLog decisions,
            RandomGenerator random) {
        mSettings = settings;
        mWorker = worker;
        mScheduler = scheduler;
        mStop = new StopSequence(scheduler, settings.shutdownGrace());
        mPlanned = new PlannedWork(scheduler);
        mListeners = new GatewayListeners(worker);
        mRandom = random;
        UpstreamRegister register = new UpstreamRegister();
        UpstreamHealth health = new UpstreamHealth();
        WriterTokens tokens = new WriterTokens(settings.host(), random.nextLong());
        mDaemonCounter = createDaemonCounter(store, tokens, random);
        mConfiguration = new ConfigurationFollower(decoder, mMetrics, mPlanned);
        mRegisterFollower =
                new RegisterFollower(decoder, register, scheduler, this::onStoreRestored);
        mStoreFollowing = createStoreFollowing(store, pacing, decoder);
        mLease =
                new LeaseManager(
                        LEASE_NAME, leaseContext(store, tokens, decisions, random), this, () -> 0);
        mCandidacy = new LeaseCandidacy(mLease, random);
        mPeerConnector = PeerMessageLink.createConnector(worker, scheduler);
        mHealthLink =
                new PeerMessageLink<>(mPeerConnector, HEALTH_NOTES_PATH, new TypeReference<>() {});
        RequestRateLimits rateLimits = createRateLimits(register);
        UpstreamAdmission admission = new UpstreamAdmission(rateLimits);
        connectHealthGossip(register, health, rateLimits, admission.leaving());
        mReach = createReach(dialect, register, health, admission);
        mMetrics.observeMalformedResponses(
                List.of(mReach.connector().direct(), mReach.connector().relayed(), mPeerConnector));
        EngineControl engineControl = mReach.obeyPauses(engines.apply(mReach.connector()));
        mRoomObservation =
                createRoomObservation(register, sender -> mReach.obeyPauses(engines.apply(sender)));
        mLayerPlacement = createLayerPlacement(register, health, engineControl);
        PromptQuarantine quarantine = new PromptQuarantine();
        mQuarantineLink =
                new PeerMessageLink<>(mPeerConnector, QUARANTINE_PATH, new TypeReference<>() {});
        mQuarantineGossip = createQuarantineGossip(quarantine);
        mQuarantineLink.setReceiver(mQuarantineGossip::onMessage);
        mQuarantineRecords = new QuarantineRecords(store, tokens, quarantine, scheduler, scheduler);
        mQuarantineGossip.setRecords(mQuarantineRecords);
        GatewayContext context =
                createContext(register, health, admission, dialect, engineControl, quarantine);
        mHandler =
                new GatewayHandler(
                        context,
                        mConfiguration::current,
                        new GatewayResponses(dialect, random),
                        mBodyMemory,
                        mInvariants);
        quarantine.setOnQuarantine(mHandler::onQuarantine);
        mReach.paths()
                .setOnPartitioned(
                        () -> {
                            health.forgetFailures();
                            mHandler.onPartitioned();
                        });
    }

    private UpstreamReach createReach(
            GatewayDialect dialect,
            UpstreamRegister register,
            UpstreamHealth health,
            UpstreamAdmission admission) {
        return new UpstreamReach(
                mWorker,
                mScheduler,
                dialect,
                register,
                health,
                admission,
                mDaemonCounter,
                mConfiguration::current,
                mBodyMemory,
                mMetrics,
                mRandom);
    }

    private RoomObservation createRoomObservation(
            UpstreamRegister register, Function<UpstreamSender, EngineControl> control) {
        return new RoomObservation(
                mSettings,
                mWorker,
                mScheduler,
                mPeerConnector,
                mDaemonCounter,
                mMetrics,
                mRandom,
                () -> RoomObservation.modelEngines(mConfiguration.current(), register),
                control);
    }

    private LayerPlacementController createLayerPlacement(
            UpstreamRegister register, UpstreamHealth health, EngineControl engines) {
        return new LayerPlacementController(
                mConfiguration::current, register, health, engines, mLease, mScheduler, mScheduler);
    }

    private DaemonCounter createDaemonCounter(
            ObjectStore store, WriterTokens tokens, RandomGenerator random) {
        return new DaemonCounter(
                store,
                tokens,
                mSettings.host(),
                mSettings.domain(),
                mSettings.peerAddress().map(URI::getAuthority),
                mScheduler,
                mScheduler,
                random);
    }

    private void connectHealthGossip(
            UpstreamRegister register,
            UpstreamHealth health,
            RequestRateLimits rateLimits,
            LeavingNotices leaving) {
        HealthGossip gossip =
                new HealthGossip(
                        mSettings.host(),
                        health,
                        register::size,
                        mDaemonCounter::peers,
                        (peer, notes) -> mHealthLink.send(peer, notes.toArray(HealthNote[]::new)),
                        mScheduler,
                        mRandom);
        gossip.observe(rateLimits);
        gossip.observe(leaving);
        mHealthLink.setReceiver(notes -> gossip.onNotes(List.of(notes)));
    }

    private RequestRateLimits createRateLimits(UpstreamRegister register) {
        return new RequestRateLimits(
                mSettings.peerAddress().map(URI::getAuthority).orElse(""),
                mDaemonCounter::peers,
                mDaemonCounter::count,
                id -> register.findById(id).isPresent(),
                mRandom);
    }

    private QuarantineGossip createQuarantineGossip(PromptQuarantine quarantine) {
        return new QuarantineGossip(
                mSettings.peerAddress().map(URI::getAuthority).orElse(""),
                quarantine,
                mDaemonCounter::peers,
                mQuarantineLink::send,
                mScheduler,
                mRandom);
    }

    private GatewayContext createContext(
            UpstreamRegister register,
            UpstreamHealth health,
            UpstreamAdmission admission,
            GatewayDialect dialect,
            EngineControl engines,
            PromptQuarantine quarantine) {
        LeastLoadedTargetPolicy targetPolicy =
                new LeastLoadedTargetPolicy(
                        register,
                        health,
                        admission,
                        mSettings.domain(),
                        mDaemonCounter::count,
                        mRoomObservation.room(),
                        mRandom);
        return new GatewayContext(
                mSettings.host(),
                mScheduler,
                dialect,
                mReach.connector(),
                mReach.paths(),
                register,
                health,
                admission,
                targetPolicy,
                new LoadAdmission(
                        new ChainRoom(targetPolicy, mRoomObservation.room()),
                        mDaemonCounter::count,
                        mScheduler),
                mRoomObservation.room(),
                new CachingEngineControl(engines, mScheduler),
                quarantine,
                new CrashDetector(engines, quarantine, mScheduler),
                new RetryBudgets(mSettings, mDaemonCounter::count),
                BodyMemory.ofHeap(Runtime.getRuntime().maxMemory()),
                mMetrics,
                mRandom,
                mStop,
                mPlanned);
    }

    private LeaseContext leaseContext(
            ObjectStore store, WriterTokens tokens, DecisionLog decisions, RandomGenerator random) {
        return new LeaseContext(
                store,
                mScheduler,
                tokens,
                decisions,
                mInvariants,
                random,
                LeaseTimings.placementSettings(),
                mSettings.host());
    }

    private StoreFollowing createStoreFollowing(
            ObjectStore store, WatchPacing pacing, GatewayDecoder decoder) {
        return new StoreFollowing(
                new StoreFollowing.Parts(
                        mWorker,
                        mScheduler,
                        store,
                        pacing,
                        mConfiguration,
                        mRegisterFollower,
                        mMetrics,
                        mRandom),
                mSettings,
                decoder,
                mDaemonCounter);
    }

    /** Opens the listeners and starts to follow the store. */
    public void start() {
        mScheduler.setOnTaskFailed(mMetrics::onTaskFailed);
        mStoreFollowing.start();
        mDaemonCounter.start(this::onDaemonCount);
        mQuarantineRecords.load();
        mListeners.start(mSettings.readinessAddress(), this::handleReadiness);
        mListeners.start(mSettings.callerAddress(), Handlers.httpContinueRead(mHandler));
        mListeners.start(mSettings.metricsAddress(), mMetrics::write);
        mSettings
                .peerAddress()
                .ifPresent(address -> mListeners.start(address, mReach.handler(messageHandler())));
        mScheduler.execute(this::runControlSteps);
        sLogger.atInfo().log(
                "start: host=%s domain=%s callers=%s",
                mSettings.host(), mSettings.domain(), mSettings.callerAddress());
    }

    private PathHandler messageHandler() {
        PathHandler messages =
                Handlers.path()
                        .addExactPath(ChangeLink.PATH, mStoreFollowing.link())
                        .addExactPath(mHealthLink.path(), mHealthLink)
                        .addExactPath(mQuarantineLink.path(), mQuarantineLink);
        mRoomObservation.addTo(messages);
        return messages;
    }

    /** Stops serving; returns when the {@link StopSequence} has ended. */
    public void drain() {
        CompletableFuture<Boolean> drained = new CompletableFuture<>();
        mScheduler.execute(
                () ->
                        mStop.start(
                                stopSteps(),
                                complete -> {
                                    mListeners.connections().closeAll();
                                    drained.complete(complete);
                                }));
        try {
            Duration grace = mSettings.shutdownGrace();
            boolean complete =
                    drained.completeOnTimeout(false, grace.toMillis(), TimeUnit.MILLISECONDS).get();
            sLogger.atInfo().log("stop: drained=%s", complete);
        } catch (ExecutionException e) {
            sLogger.atSevere().withCause(e).log("stop: failed");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private StopSequence.Steps stopSteps() {
        return new StopSteps(
                mHandler,
                mReach,
                mListeners,
                () -> {
                    mDraining = true;
                    mPlanned.onStop();
                    mLease.release();
                });
    }

    /** Writes again what this daemon has in the store, which came back from a copy. */
    private void onStoreRestored() {
        mDaemonCounter.onStoreRestored();
        mQuarantineRecords.onStoreRestored();
    }

    private void onDaemonCount(int daemons) {
        mStoreFollowing.onDaemonCount(daemons);
        if (!mQuarantineRequested) {
            mQuarantineRequested = true;
            mQuarantineGossip.requestAll();
        }
        mCandidacy.onDaemonCount(daemons);
    }

    private void runControlSteps() {
        TaskGuard guard = new TaskGuard(mScheduler);
        guard.repeat(
                "control",
                CONTROL_PERIOD,
                () -> mDraining || mClosed,
                () -> {
                    guard.run("probes", mReach::step);
                    guard.run("engine loads", mRoomObservation::step);
                    guard.run("lease", this::stepLease);
                    guard.run("layers", mLayerPlacement::step);
                });
    }

    private void stepLease() {
        boolean synced = mConfiguration.current().isPresent() && mRegisterFollower.isListed();
        mCandidacy.step(synced, mReach.isPartitionedForLong());
    }

    private void handleReadiness(HttpServerExchange exchange) {
        boolean ready =
                !mDraining && mConfiguration.current().isPresent() && mRegisterFollower.isListed();
        exchange.setStatusCode(ready ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.endExchange();
    }

    @Override
    public void close() {
        mScheduler.execute(
                () -> {
                    mClosed = true;
                    mListeners.connections().closeAll();
                });
        mDaemonCounter.close();
        mStoreFollowing.close();
        mListeners.close();
        mPeerConnector.close();
        mRoomObservation.close();
        mReach.close();
    }
}
