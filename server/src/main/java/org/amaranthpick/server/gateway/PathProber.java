package org.amaranthpick.server.gateway;

import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.reach.UpstreamPaths;
import org.amaranthpick.core.register.UpstreamAdmission;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.TaskGuard;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.http.OpenedConnection;

/** Probes broken paths by connections that carry no request. Confined to the I/O thread. */
final class PathProber {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    /** Time in which a connection that was accepted on the way is reset. */
    private static final Duration RESET_TIME = Duration.ofMillis(50);

    private final UpstreamPaths mPaths;
    private final UpstreamRegister mRegister;
    private final UpstreamAdmission mAdmission;
    private final HttpConnector mConnector;
    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final TaskGuard mGuard;
    private final Set<String> mPending = new HashSet<>();

    PathProber(
            UpstreamPaths paths,
            UpstreamRegister register,
            UpstreamAdmission admission,
            HttpConnector connector,
            Scheduler scheduler,
            RandomGenerator random) {
        mPaths = paths;
        mRegister = register;
        mAdmission = admission;
        mConnector = connector;
        mScheduler = scheduler;
        mRandom = random;
        mGuard = new TaskGuard(scheduler);
    }

    /** Starts the probes that are due. Called at intervals. */
    void step() {
        if (mPaths.isWhole()) {
            return;
        }
        List<String> registered = mRegister.ids();
        for (String id : mPaths.probeTargets(registered, mRandom)) {
            if (mPending.add(id)) {
                mRegister
                        .findById(id)
                        .filter(entry -> !mAdmission.isPaused(entry, mScheduler.monotonicNs()))
                        .ifPresentOrElse(this::probeGuarded, () -> mPending.remove(id));
            }
        }
    }

    private void probeGuarded(UpstreamEntry upstream) {
        mGuard.run(
                "probes",
                () -> {
                    try {
                        probe(upstream);
                    } catch (RuntimeException | Error e) {
                        mPending.remove(upstream.id());
                        throw e;
                    }
                });
    }

    private void probe(UpstreamEntry upstream) {
        mConnector.open(
                URI.create("http://" + upstream.address()),
                CONNECT_TIMEOUT,
                new OpenedConnection.Listener() {
                    @Override
                    public void onOpened(OpenedConnection connection) {
                        mScheduler.schedule(RESET_TIME, () -> onHeld(upstream.id(), connection));
                    }

                    @Override
                    public void onFailed(String reason) {
                        mPending.remove(upstream.id());
                    }
                });
    }

    private void onHeld(String id, OpenedConnection connection) {
        mPending.remove(id);
        if (connection.closeIfSilent()) {
            mPaths.onAnswered(id, mScheduler.monotonicNs());
        }
    }
}
