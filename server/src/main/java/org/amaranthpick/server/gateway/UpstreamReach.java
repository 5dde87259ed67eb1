package org.amaranthpick.server.gateway;

import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.PathHandler;
import java.net.InetAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.gateway.BodyMemory;
import org.amaranthpick.core.gateway.GatewayConfiguration;
import org.amaranthpick.core.layers.EngineControl;
import org.amaranthpick.core.layers.PausingEngineControl;
import org.amaranthpick.core.reach.RelayDirectory;
import org.amaranthpick.core.reach.UpstreamPaths;
import org.amaranthpick.core.register.DaemonCounter;
import org.amaranthpick.core.register.UpstreamAdmission;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.server.http.ConnectorSettings;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.xnio.XnioWorker;

/**
 * Paths of a gateway to the upstreams: direct connections, those through other daemons, and those
 * that it opens for others.
 */
final class UpstreamReach implements AutoCloseable {
    /** Connections to upstreams are not reused, so that no request gets the response of another. */
    private static final Duration NO_REUSE = Duration.ZERO;

    private static final int MAX_CONNECTIONS = 400;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    /** Short, since a daemon that cannot be reached delays the request that is to be relayed. */
    private static final Duration RELAY_CONNECT_TIMEOUT = Duration.ofMillis(100);

    private static final Duration RELAY_IDLE_TIMEOUT = Duration.ofSeconds(2);
    private static final long DEFAULT_MAX_BODY_BYTES = 1 << 20;

    /** Calls of {@link #step()} for which a partition may be a short fault, such as a silence. */
    private static final int STEPS_OF_SHORT_FAULT = 4;

    private final UpstreamPaths mPaths = new UpstreamPaths();
    private final IoThreadScheduler mScheduler;
    private final UpstreamAdmission mAdmission;
    private final DaemonCounter mDaemons;
    private final Supplier<Optional<GatewayConfiguration>> mConfiguration;
    private final HttpConnector mDirect;
    private final HttpConnector mRelayed;
    private final UpstreamConnector mConnector;
    private final PathProber mProber;
    private final RelayHandler mRelayHandler;
    private int mPartitionedSteps;

    /**
     * Creates the paths.
     *
     * @param worker gives the I/O thread
     * @param scheduler scheduler on that thread
     * @param dialect HTTP headers of upstreams
     * @param register registered upstreams
     * @param health told of upstreams that other daemons reach or do not reach
     * @param admission whether upstreams may get requests, by what they say themselves
     * @param daemons other daemons
     * @param configuration latest configuration, empty before the first
     * @param bodyMemory memory for the bodies of requests
     * @param metrics counts paths
     * @param random source of the choice of daemons and probes
     */
    UpstreamReach(
            XnioWorker worker,
            IoThreadScheduler scheduler,
            GatewayDialect dialect,
            UpstreamRegister register,
            UpstreamHealth health,
            UpstreamAdmission admission,
            DaemonCounter daemons,
            Supplier<Optional<GatewayConfiguration>> configuration,
            BodyMemory bodyMemory,
            GatewayMetrics metrics,
            RandomGenerator random) {
        mScheduler = scheduler;
        mAdmission = admission;
        mDaemons = daemons;
        mConfiguration = configuration;
        mDirect = new HttpConnector(worker, scheduler, settings(CONNECT_TIMEOUT, NO_REUSE));
        mRelayed =
                new HttpConnector(
                        worker, scheduler, settings(RELAY_CONNECT_TIMEOUT, RELAY_IDLE_TIMEOUT));
        mConnector =
                new UpstreamConnector(
                        mDirect,
                        mRelayed,
                        mPaths,
                        new RelayDirectory(daemons::peers, random),
                        health,
                        admission,
                        dialect,
                        scheduler,
                        metrics);
        mProber = new PathProber(mPaths, register, admission, mDirect, scheduler, random);
        mRelayHandler =
                new RelayHandler(
                        new RelayContext(
                                scheduler,
                                dialect,
                                register,
                                admission,
                                mPaths,
                                this::isDaemon,
                                this::maxBodyBytes,
                                bodyMemory,
                                metrics),
                        mDirect);
    }

    private static ConnectorSettings settings(Duration connectTimeout, Duration idleTimeout) {
        return new ConnectorSettings(MAX_CONNECTIONS, MAX_CONNECTIONS, connectTimeout, idleTimeout);
    }

    UpstreamPaths paths() {
        return mPaths;
    }

    UpstreamConnector connector() {
        return mConnector;
    }

    /** Returns a control that sends nothing to engines that asked for a pause. */
    EngineControl obeyPauses(EngineControl control) {
        return new PausingEngineControl(
                control, engine -> mAdmission.isPaused(engine, mScheduler.monotonicNs()));
    }

    /** Starts the probes of broken paths that are due. Called at intervals. */
    void step() {
        mPartitionedSteps = mPaths.isPartitioned() ? mPartitionedSteps + 1 : 0;
        mProber.step();
    }

    /**
     * Returns whether no upstream has been reached directly for longer than a short fault takes.
     */
    boolean isPartitionedForLong() {
        return mPartitionedSteps > STEPS_OF_SHORT_FAULT;
    }

    /** Refuses to open further paths for other daemons. */
    void drain() {
        mRelayHandler.drain();
    }

    /** Ends what is relayed for other daemons. */
    void interrupt() {
        mRelayHandler.interrupt();
    }

    /** Returns the number of requests of other daemons whose responses are not written. */
    int openCount() {
        return mRelayHandler.openCount();
    }

    /** Adds what other daemons ask for to the handler of their messages. */
    HttpHandler handler(PathHandler messages) {
        messages.addExactPath(UpstreamConnector.RELAY_PATH, mRelayHandler);
        return exchange -> {
            if (RelayHandler.isRelayed(exchange)) {
                mRelayHandler.relay(exchange);
            } else {
                messages.handleRequest(exchange);
            }
        };
    }

    private boolean isDaemon(InetAddress address) {
        return mDaemons.peers().stream()
                .map(peer -> peer.substring(0, Math.max(0, peer.lastIndexOf(':'))))
                .anyMatch(address.getHostAddress()::equals);
    }

    private long maxBodyBytes() {
        return mConfiguration
                .get()
                .map(configuration -> configuration.limits().maxBodyBytes())
                .orElse(DEFAULT_MAX_BODY_BYTES);
    }

    @Override
    public void close() {
        mDirect.close();
        mRelayed.close();
    }
}
