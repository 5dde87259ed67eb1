package org.amaranthpick.core.config;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.config.ConfigMessage.ChunkReply;
import org.amaranthpick.core.config.ConfigMessage.ChunkRequest;
import org.amaranthpick.core.config.ConfigMessage.InForce;
import org.amaranthpick.core.config.ConfigMessage.InForceQuery;
import org.amaranthpick.core.config.ConfigMessage.InForceReply;
import org.amaranthpick.core.config.ConfigMessage.Notice;
import org.amaranthpick.core.config.ConfigMessage.RootReply;
import org.amaranthpick.core.config.ConfigMessage.RootRequest;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.member.GenerationExchange;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/**
 * Keeps the configuration of this daemon at the newest accepted generation. A few daemons of each
 * domain watch the store; the others hear of a generation along a tree or from heartbeats and fetch
 * it from a peer. Thread-safe; readers never wait.
 */
public final class ConfigurationService
        implements ConfigurationView, GenerationExchange, AutoCloseable {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String PREFIX = "configuration:";
    private static final Duration STEP_PERIOD = Duration.ofMillis(500);

    private final Object mLock = new Object();
    private final ConfigurationInForce mInForce;
    private final PeerNetwork mNetwork;
    private final Scheduler mScheduler;
    private final DomainRoles mRoles;
    private final HeldContent mHeld = new HeldContent();
    private final ContentFetcher mFetcher;
    private final RootWatch mWatch;
    private final InForceTracker mTracker;
    private final Startup mStartup;
    private final Spread mSpread;
    private Optional<Cancellable> mTimer = Optional.empty();
    private boolean mClosed;
    private volatile boolean mReady;

    /**
     * Creates the service; it does nothing before {@link #start()}.
     *
     * @param store stored configuration
     * @param inForce holder to fill
     * @param members membership
     * @param network network between daemons
     * @param scheduler clocks and timers
     * @param random source of random choices
     */
    public ConfigurationService(
            ConfigurationStore store,
            ConfigurationInForce inForce,
            MemberView members,
            PeerNetwork network,
            Scheduler scheduler,
            RandomGenerator random) {
        mInForce = inForce;
        mNetwork = network;
        mScheduler = scheduler;
        mRoles = new DomainRoles(members);
        mFetcher = new ContentFetcher(mLock, store, network, scheduler, mHeld, this::install);
        mWatch = new RootWatch(mLock, store, scheduler, random, mFetcher::wantFromStore);
        mTracker = new InForceTracker(mLock, mRoles, network, scheduler);
        mSpread = new Spread(mRoles, network);
        mStartup = new Startup(mLock, store, mRoles, network, scheduler, random, mFetcher);
    }

    /** Registers the message handlers and starts learning. */
    public void start() {
        for (int tag = ConfigMessage.TAG_NOTICE; tag <= ConfigMessage.TAG_IN_FORCE_REPLY; tag++) {
            mNetwork.handle(tag, this::onMessage);
        }
        synchronized (mLock) {
            mStartup.begin();
        }
        step();
    }

    @Override
    public Optional<Configuration> current() {
        return mInForce.current();
    }

    /**
     * Tells whether this daemon has asked the store and peers and holds the highest generation that
     * they offered.
     *
     * @return true from then on
     */
    public boolean isReady() {
        return mReady;
    }

    /**
     * Asks every domain where a generation is in force.
     *
     * @param generation the generation
     * @return status; completes normally within about a second
     */
    public CompletionStage<InForceStatus> inForce(long generation) {
        synchronized (mLock) {
            return mTracker.ask(generation);
        }
    }

    @Override
    public long generation() {
        return mInForce.generation();
    }

    @Override
    public void onHeard(Identity from, long generation) {
        synchronized (mLock) {
            mTracker.note(from, generation);
            if (!mClosed) {
                mFetcher.wantFromPeer(generation, from);
            }
        }
    }

    /**
     * Counts the watches replaced because they were silent.
     *
     * @return count since the start
     */
    public long watchesReplaced() {
        synchronized (mLock) {
            return mWatch.replaced();
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

    private void step() {
        synchronized (mLock) {
            if (mClosed) {
                return;
            }
            mWatch.step(mRoles.isWatcher());
            mStartup.step(mInForce.generation());
            if (mInForce.generation() > 0) {
                mTracker.tell(mInForce.generation(), false);
            }
            mTracker.forgetGone();
            refreshReady();
            mTimer = Optional.of(mScheduler.schedule(STEP_PERIOD, this::step));
        }
    }

    private void onMessage(Identity from, PeerMessage message) {
        synchronized (mLock) {
            if (!mClosed) {
                dispatch(from, (ConfigMessage) message);
                refreshReady();
            }
        }
    }

    private void dispatch(Identity from, ConfigMessage message) {
        if (message instanceof Notice notice) {
            onNotice(from, notice);
        } else if (message instanceof RootRequest) {
            mNetwork.send(from, new RootReply(mHeld.root()));
        } else if (message instanceof RootReply reply) {
            mStartup.onRootReply(from, reply);
            mFetcher.onRootReply(from, reply);
        } else if (message instanceof ChunkRequest request) {
            request.digests().forEach(digest -> sendChunk(from, digest));
        } else if (message instanceof ChunkReply reply) {
            mFetcher.onChunkReply(from, reply);
        } else if (message instanceof InForce inForce) {
            mTracker.note(from, inForce.generation());
        } else if (message instanceof InForceQuery query) {
            mNetwork.send(from, mTracker.answer(query.query(), query.generation()));
        } else if (message instanceof InForceReply reply) {
            mTracker.onReply(reply);
        }
    }

    private void onNotice(Identity from, Notice notice) {
        mTracker.note(from, notice.generation());
        mSpread.onNotice(notice);
        mFetcher.wantFromPeer(notice.generation(), from);
    }

    private void sendChunk(Identity to, String digest) {
        mNetwork.send(to, new ChunkReply(digest, mHeld.chunk(digest).orElse(new byte[0])));
    }

    /** Installs content on a timer thread, since reading a large manifest takes a while. */
    private void install(ContentFetcher.Fetched fetched) {
        mScheduler.schedule(Duration.ZERO, () -> assemble(fetched));
    }

    private void assemble(ContentFetcher.Fetched fetched) {
        ConfigurationRoot root = fetched.root();
        Optional<Configuration> configuration = configuration(fetched);
        if (configuration.isEmpty() || !mInForce.install(configuration.get())) {
            return;
        }
        synchronized (mLock) {
            if (mClosed || root.generation() < mInForce.generation()) {
                return;
            }
            mHeld.replace(root, fetched.chunks());
            mTracker.tell(root.generation(), true);
            mSpread.onInstalled(root.generation(), fetched.peer());
            refreshReady();
        }
    }

    private static Optional<Configuration> configuration(ContentFetcher.Fetched fetched) {
        ConfigurationRoot root = fetched.root();
        try {
            if (!ManifestChunks.digestOf(root.chunks()).equals(root.digest())) {
                throw new IllegalArgumentException("its digest does not match, apply it again");
            }
            Manifest manifest = ManifestChunks.join(fetched.chunks().values());
            return Optional.of(new Configuration(root.generation(), root.digest(), manifest));
        } catch (IllegalArgumentException e) {
            sLogger.atWarning().log(
                    "%s generation %d refused, %s", PREFIX, root.generation(), e.getMessage());
            return Optional.empty();
        }
    }

    private void refreshReady() {
        mReady = mReady || (mStartup.isSettled(mInForce.generation()) && current().isPresent());
    }
}
