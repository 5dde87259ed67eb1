package org.amaranthpick.server.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.request.Router;
import org.amaranthpick.server.caller.CallerListener;
import org.amaranthpick.server.caller.RequestIds;
import org.amaranthpick.server.metrics.MeteredRouter;
import org.amaranthpick.server.operator.OperatorListener;

/** One daemon, from start to shutdown. */
public final class Daemon implements AutoCloseable {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String PREFIX = "daemon:";

    private final Foundation mBase;
    private final ControlPlane mControl;
    private final RequestPath mRequests;
    private final CallerListener mCallers;
    private final OperatorListener mOperators;
    private final AtomicBoolean mDraining = new AtomicBoolean();
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();

    private Daemon(Foundation base) throws IOException {
        mBase = base;
        Settings settings = base.settings();
        mControl = new ControlPlane(mBase);
        mRequests = new RequestPath(mBase, mControl);
        Router router = new MeteredRouter(mRequests.router(), mBase.metrics(), mBase.scheduler());
        mCallers =
                new CallerListener(
                        socketAddress(settings.callerAddress()),
                        mBase.worker(),
                        mControl.configuration(),
                        router,
                        new RequestIds(settings.host(), mBase.bootNonce()),
                        settings.limits(),
                        mBase.scheduler());
        mOperators =
                new OperatorListener(
                        socketAddress(settings.operatorAddress()),
                        mBase.worker(),
                        settings.operatorToken(),
                        new DaemonActions(this, mBase, mControl, mRequests.router()));
    }

    /**
     * Starts a daemon.
     *
     * @param settings checked settings
     * @return running daemon; it is ready when the operators' listener says so
     * @throws IOException if a listener cannot be opened
     */
    public static Daemon start(Settings settings) throws IOException {
        Foundation base = new Foundation(settings);
        try {
            Daemon daemon = new Daemon(base);
            daemon.mControl.start();
            sLogger.atInfo().log("%s started on %s.", PREFIX, settings.host());
            return daemon;
        } catch (IOException | RuntimeException e) {
            base.close();
            throw new IOException(e.getMessage(), e);
        }
    }

    /**
     * Returns the address of the callers' listener.
     *
     * @return bound address
     */
    public InetSocketAddress callerAddress() {
        return mCallers.address();
    }

    /**
     * Returns the address of the operators' listener.
     *
     * @return bound address
     */
    public InetSocketAddress operatorAddress() {
        return mOperators.address();
    }

    /**
     * Tells why the daemon is not ready.
     *
     * @return reason, empty if it takes requests
     */
    public Optional<String> notReady() {
        if (mDraining.get()) {
            return Optional.of("draining");
        }
        if (!mControl.configurationService().isReady()) {
            return Optional.of("no configuration is in force yet");
        }
        return Optional.empty();
    }

    /**
     * Counts the violations of the program's invariants.
     *
     * @return violations since the start
     */
    public long invariantViolations() {
        return mBase.invariants().total();
    }

    /**
     * Shuts down gracefully: readiness fails at once, requests are taken for the balancer's lag,
     * then refused; those in progress end. After the grace the rest is interrupted, one log line
     * each.
     *
     * @return completes when nothing is in progress
     */
    public CompletionStage<Void> drain() {
        if (mDraining.compareAndSet(false, true)) {
            Settings settings = mBase.settings();
            mControl.members().announceLeaving();
            sLogger.atInfo().log(
                    "%s draining %d requests.", PREFIX, mRequests.router().requestsInProgress());
            mBase.scheduler().schedule(settings.balancerLag(), this::finish);
            mBase.scheduler()
                    .schedule(
                            settings.balancerLag().plus(settings.drainGrace()),
                            () -> mRequests.router().interruptAll("the daemon's grace ran out"));
        }
        return mDrained;
    }

    /**
     * Returns the end of the graceful shutdown.
     *
     * @return completes when a drain was asked for and nothing is in progress
     */
    public CompletionStage<Void> drained() {
        return mDrained;
    }

    /** Stops at once; requests in progress are interrupted. */
    @Override
    public void close() {
        if (!mClosed.compareAndSet(false, true)) {
            return;
        }
        mRequests.router().interruptAll("the daemon stopped");
        mCallers.close();
        mOperators.close();
        mControl.close();
        mBase.close();
        sLogger.atInfo().log("%s stopped.", PREFIX);
    }

    private void finish() {
        var unused = mRequests.router().drain().thenRun(() -> mDrained.complete(null));
    }

    private static InetSocketAddress socketAddress(PeerAddress address) throws IOException {
        return new InetSocketAddress(InetAddress.getByName(address.ip()), address.port());
    }
}
