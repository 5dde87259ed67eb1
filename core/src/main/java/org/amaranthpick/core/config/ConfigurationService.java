package org.amaranthpick.core.config;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.config.ConfigurationMessage.ChunkReply;
import org.amaranthpick.core.config.ConfigurationMessage.ChunkRequest;
import org.amaranthpick.core.config.ConfigurationMessage.GenerationNotice;
import org.amaranthpick.core.config.ConfigurationMessage.InForceQuery;
import org.amaranthpick.core.config.ConfigurationMessage.InForceReply;
import org.amaranthpick.core.config.ConfigurationMessage.InForceReport;
import org.amaranthpick.core.config.ConfigurationMessage.RootReply;
import org.amaranthpick.core.config.ConfigurationMessage.RootRequest;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.member.GenerationExchange;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.TaskGuard;

/**
 * Keeps the configuration of this daemon at the newest accepted generation. A few daemons of each
 * domain, the watchers, watch the store. The others learn of a generation from a notice that is
 * broadcast along a tree, or from heartbeats, and fetch it from a peer. Thread-safe; reading the
 * configuration never blocks.
 */
public final class ConfigurationService
        implements ConfigurationView, GenerationExchange, AutoCloseable {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String PREFIX = "configuration:";
    private static final Duration TIMER_PERIOD = Duration.ofMillis(500);

    private final Object mLock = new Object();
    private final ConfigurationInForce mInForce;
    private final PeerNetwork mNetwork;
    private final Scheduler mScheduler;
    private final TaskGuard mGuard;
    private final DomainWatchers mWatchers;
    private final CurrentContent mCurrentContent = new CurrentContent();
    private final ContentFetcher mFetcher;
    private final RootWatch mWatch;
    private final InForceTracker mTracker;
    private final ConfigurationBootstrap mBootstrap;
    private final GenerationBroadcast mBroadcast;
    private Optional<Cancellable> mTimer = Optional.empty();
    private boolean mClosed;
    private volatile boolean mReady;

    /**
     * Creates the service; it does nothing before {@link #start()}.
     *
     * @param store stored configuration
     * @param holder holder in which generations are installed
     * @param members membership
     * @param network messaging between daemons
     * @param scheduler clocks and timers
     * @param random source of random choices
     */
    public ConfigurationService(
            ConfigurationStore store,
            ConfigurationInForce holder,
            MemberView members,
            PeerNetwork network,
            Scheduler scheduler,
            RandomGenerator random) {
        mInForce = holder;
        mNetwork = network;
        mScheduler = scheduler;
        mGuard = new TaskGuard(scheduler);
        mWatchers = new DomainWatchers(members);
        mFetcher =
                new ContentFetcher(
                        mLock, store, network, scheduler, mCurrentContent, this::scheduleInstall);
        mWatch = new RootWatch(mLock, store, scheduler, random, mFetcher::fetchFromStore);
        mTracker = new InForceTracker(mLock, mWatchers, network, scheduler);
        mBroadcast = new GenerationBroadcast(mWatchers, network);
        mBootstrap =
                new ConfigurationBootstrap(
                        mLock, store, mWatchers, network, scheduler, random, mFetcher);
    }

    /** Registers the message handlers and starts to look for the newest generation. */
    public void start() {
        for (int tag = ConfigurationMessage.TAG_GENERATION_NOTICE;
                tag <= ConfigurationMessage.TAG_IN_FORCE_REPLY;
                tag++) {
            mNetwork.handle(tag, this::onMessage);
        }
        synchronized (mLock) {
            mBootstrap.start();
        }
        onTimer();
    }

    @Override
    public Optional<Configuration> current() {
        return mInForce.current();
    }

    /**
     * Returns whether the configuration in force is at least as new as every generation that the
     * store and the peers offered at startup.
     *
     * @return true once this was the case; never false again
     */
    public boolean isReady() {
        return mReady;
    }

    /**
     * Queries every domain for the daemons on which a generation is in force.
     *
     * @param generation the generation
     * @return status; completes normally within about a second
     */
    public CompletionStage<InForceStatus> queryInForce(long generation) {
        synchronized (mLock) {
            return mTracker.queryAllDomains(generation);
        }
    }

    @Override
    public long generation() {
        return mInForce.generation();
    }

    @Override
    public void onPeerGeneration(Identity from, long generation) {
        synchronized (mLock) {
            mTracker.recordGeneration(from, generation);
            if (!mClosed) {
                mFetcher.fetchFromPeer(generation, from);
            }
        }
    }

    /**
     * Returns the number of watches that were replaced because they were silent.
     *
     * @return number since the start
     */
    public long watchesReplaced() {
        synchronized (mLock) {
            return mWatch.replacedCount();
        }
    }

    @Override
    public void close() {
        synchronized (mLock) {
            mClosed = true;
            mTimer.ifPresent(Cancellable::cancel);
            mWatch.stop();
        }
    }

    private void onTimer() {
        synchronized (mLock) {
            if (mClosed) {
                return;
            }
            mGuard.run(
                    "configuration",
                    this::step,
                    () -> mTimer = Optional.of(mScheduler.schedule(TIMER_PERIOD, this::onTimer)));
        }
    }

    private void step() {
        mWatch.onTimer(mWatchers.isWatcher());
        mBootstrap.onTimer(mInForce.generation());
        if (mInForce.generation() > 0) {
            mTracker.reportToWatchers(mInForce.generation(), false);
        }
        mTracker.removeDepartedMembers();
        updateReady();
    }

    private void onMessage(Identity from, PeerMessage message) {
        synchronized (mLock) {
            if (!mClosed) {
                dispatch(from, (ConfigurationMessage) message);
                updateReady();
            }
        }
    }

    private void dispatch(Identity from, ConfigurationMessage message) {
        if (message instanceof GenerationNotice notice) {
            onNotice(from, notice);
        } else if (message instanceof RootRequest) {
            mNetwork.send(from, new RootReply(mCurrentContent.root()));
        } else if (message instanceof RootReply reply) {
            mBootstrap.onRootReply(from, reply);
            mFetcher.onRootReply(from, reply);
        } else if (message instanceof ChunkRequest request) {
            request.digests().forEach(digest -> sendChunk(from, digest));
        } else if (message instanceof ChunkReply reply) {
            mFetcher.onChunkReply(from, reply);
        } else if (message instanceof InForceReport report) {
            mTracker.recordGeneration(from, report.generation());
        } else if (message instanceof InForceQuery query) {
            mNetwork.send(from, mTracker.ownDomainReply(query.query(), query.generation()));
        } else if (message instanceof InForceReply reply) {
            mTracker.onReply(reply);
        }
    }

    private void onNotice(Identity from, GenerationNotice notice) {
        mTracker.recordGeneration(from, notice.generation());
        mBroadcast.onNotice(notice);
        mFetcher.fetchFromPeer(notice.generation(), from);
    }

    private void sendChunk(Identity to, String digest) {
        mNetwork.send(
                to, new ChunkReply(digest, mCurrentContent.chunk(digest).orElse(new byte[0])));
    }

    /** Installs on a timer thread, because parsing a large manifest would block this one. */
    private void scheduleInstall(ContentFetcher.FetchedContent fetched) {
        mScheduler.schedule(Duration.ZERO, () -> installFetched(fetched));
    }

    private void installFetched(ContentFetcher.FetchedContent fetched) {
        ConfigurationRoot root = fetched.root();
        Optional<Configuration> configuration = toConfiguration(fetched);
        if (configuration.isEmpty() || !mInForce.install(configuration.get())) {
            return;
        }
        synchronized (mLock) {
            if (mClosed || root.generation() < mInForce.generation()) {
                return;
            }
            mCurrentContent.replace(root, fetched.chunks());
            mTracker.reportToWatchers(root.generation(), true);
            mBroadcast.onInstalled(root.generation(), fetched.peer());
            updateReady();
        }
    }

    private static Optional<Configuration> toConfiguration(ContentFetcher.FetchedContent fetched) {
        ConfigurationRoot root = fetched.root();
        try {
            if (!ManifestChunks.digestOf(root.chunks()).equals(root.digest())) {
                throw new IllegalArgumentException(
                        "the digest of its chunks does not match its root; apply the manifest again");
            }
            Manifest manifest = ManifestChunks.join(fetched.chunks().values());
            return Optional.of(new Configuration(root.generation(), root.digest(), manifest));
        } catch (IllegalArgumentException e) {
            sLogger.atWarning().log(
                    "%s generation %d not installed: %s",
                    PREFIX, root.generation(), e.getMessage());
            return Optional.empty();
        }
    }

    private void updateReady() {
        mReady = mReady || (mBootstrap.isSettled(mInForce.generation()) && current().isPresent());
    }
}
