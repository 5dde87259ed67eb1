package org.amaranthpick.server.daemon;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.explain.DecisionTrail;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.upstream.UpstreamClient;
import org.amaranthpick.server.metrics.DaemonMetrics;
import org.amaranthpick.server.store.BudgetSettings;
import org.amaranthpick.server.store.BudgetedObjectStore;
import org.amaranthpick.server.store.HttpObjectStore;
import org.amaranthpick.server.store.StoreSettings;
import org.amaranthpick.server.time.SystemScheduler;
import org.amaranthpick.server.upstream.HttpUpstreamClient;
import org.amaranthpick.server.upstream.UpstreamSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** What every part of a daemon stands on: threads, clocks, randomness, clients, shared state. */
final class Foundation implements AutoCloseable {
    private static final int EXPLAINED_SUBJECTS = 10_000;
    private static final int STORE_RANDOM = 6;
    private static final int MAX_TASK_THREADS = 4;
    private static final String RANDOM_ALGORITHM = "L64X128MixRandom";

    private final Settings mSettings;
    private final long mBootNonce;
    private final XnioWorker mWorker;
    private final SystemScheduler mScheduler = new SystemScheduler("amaranthpick-timers");
    private final SystemScheduler mControlScheduler = new SystemScheduler("amaranthpick-control");
    private final BudgetedObjectStore mStore;
    private final UpstreamClient mUpstreams;
    private final WriterTokens mTokens;
    private final Blackboard mBoard = new Blackboard();
    private final Invariants mInvariants = new Invariants();
    private final DecisionTrail mDecisions;
    private final DaemonMetrics mMetrics = new DaemonMetrics();

    Foundation(Settings settings) throws IOException {
        mSettings = settings;
        mBootNonce = new SecureRandom().nextLong();
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, settings.ioThreads())
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, MAX_TASK_THREADS)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.WORKER_NAME, "amaranthpick-" + settings.host().name())
                        .getMap();
        mWorker = Xnio.getInstance().createWorker(options);
        mStore =
                new BudgetedObjectStore(
                        new HttpObjectStore(
                                settings.storeAddress(),
                                mWorker,
                                mScheduler,
                                StoreSettings.defaults().withToken(settings.storeToken())),
                        mScheduler,
                        random(STORE_RANDOM),
                        BudgetSettings.ofShare(settings.storeCallsPerSecond()));
        mUpstreams =
                new HttpUpstreamClient(
                        mWorker,
                        mScheduler,
                        UpstreamSettings.defaults().withOrderToken(settings.orderToken()));
        mTokens = new WriterTokens(settings.host().key(), mBootNonce);
        mDecisions = new DecisionTrail(mScheduler, EXPLAINED_SUBJECTS);
        mMetrics.registerInvariants(mInvariants);
    }

    Settings settings() {
        return mSettings;
    }

    long bootNonce() {
        return mBootNonce;
    }

    XnioWorker worker() {
        return mWorker;
    }

    /** Timers of the request path. */
    SystemScheduler scheduler() {
        return mScheduler;
    }

    /** Timers of the control jobs, on a thread of their own. */
    SystemScheduler controlScheduler() {
        return mControlScheduler;
    }

    BudgetedObjectStore store() {
        return mStore;
    }

    UpstreamClient upstreams() {
        return mUpstreams;
    }

    WriterTokens tokens() {
        return mTokens;
    }

    Blackboard board() {
        return mBoard;
    }

    Invariants invariants() {
        return mInvariants;
    }

    DecisionTrail decisions() {
        return mDecisions;
    }

    DaemonMetrics metrics() {
        return mMetrics;
    }

    /** Creates a generator whose numbers differ from those of every other one. */
    RandomGenerator random(int purpose) {
        long seed = mBootNonce + purpose;
        return RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(seed);
    }

    @Override
    public void close() {
        mControlScheduler.close();
        mUpstreams.close();
        mStore.close();
        mScheduler.close();
        mWorker.shutdownNow();
    }
}
