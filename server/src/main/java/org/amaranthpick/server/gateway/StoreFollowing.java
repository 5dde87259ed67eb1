package org.amaranthpick.server.gateway;

import java.net.URI;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.follow.ChangeSource;
import org.amaranthpick.core.follow.FollowContext;
import org.amaranthpick.core.follow.FollowRoles;
import org.amaranthpick.core.follow.FollowingStore;
import org.amaranthpick.core.register.DaemonCounter;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.StoreFollower;
import org.amaranthpick.core.store.WatchPacing;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.xnio.XnioWorker;

/** Follows the configuration and the register in the store, or through other daemons. */
final class StoreFollowing implements AutoCloseable {
    private final ChangeSource mChanges;
    private final ChangeLink mLink;
    private final FollowRoles mRoles;
    private final WatchPacing mPacing;
    private final StoreFollower mConfiguration;
    private final StoreFollower mRegister;

    StoreFollowing(
            Parts parts, GatewaySettings settings, GatewayDecoder decoder, DaemonCounter daemons) {
        IoThreadScheduler scheduler = parts.scheduler();
        mPacing = parts.pacing();
        mChanges = new ChangeSource(scheduler);
        mLink = new ChangeLink(parts.worker(), scheduler, mChanges);
        mRoles =
                new FollowRoles(
                        settings.peerAddress().map(URI::getAuthority),
                        settings.domain(),
                        daemons::daemons,
                        scheduler,
                        parts.random());
        parts.metrics().observeFollowers(mChanges::held);
        ObjectStore store =
                new FollowingStore(
                        new FollowContext(
                                parts.store(),
                                mLink,
                                mRoles,
                                mChanges,
                                mPacing.relayingTimings(),
                                scheduler,
                                parts.random(),
                                parts.metrics()::onStorePollReplaced));
        mConfiguration =
                follower(parts, store, decoder.configurationPrefix(), parts.configuration());
        mRegister = follower(parts, store, decoder.registerPrefix(), parts.register());
    }

    /**
     * What the followers work with.
     *
     * @param worker XNIO worker with a single I/O thread
     * @param scheduler scheduler on that I/O thread
     * @param store object store of the platform
     * @param pacing pacing of the watches of the store
     * @param configuration receives the configuration
     * @param register receives the register
     * @param metrics counts polls and followers
     * @param random source of jitter
     */
    record Parts(
            XnioWorker worker,
            IoThreadScheduler scheduler,
            ObjectStore store,
            WatchPacing pacing,
            StoreFollower.Sink configuration,
            StoreFollower.Sink register,
            GatewayMetrics metrics,
            RandomGenerator random) {}

    private static StoreFollower follower(
            Parts parts, ObjectStore store, String prefix, StoreFollower.Sink sink) {
        return new StoreFollower(
                store, prefix, parts.scheduler(), parts.scheduler(), parts.random(), sink);
    }

    void start() {
        mConfiguration.start();
        mRegister.start();
    }

    /** Returns what answers the daemons that follow this one. */
    ChangeLink link() {
        return mLink;
    }

    /** Handles a new number of daemons. */
    void onDaemonCount(int daemons) {
        mPacing.setDaemonCount(daemons);
        mPacing.setRelaying(mRoles.isRelaying());
    }

    @Override
    public void close() {
        mConfiguration.close();
        mRegister.close();
        mLink.close();
    }
}
