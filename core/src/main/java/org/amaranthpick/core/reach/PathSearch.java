package org.amaranthpick.core.reach;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * Search for a path to an upstream for one request: the direct path unless it is known to be
 * broken, then paths through other daemons. The request is sent only once a path is open, so a
 * search that fails has sent nothing. Confined to one thread.
 */
public final class PathSearch {
    private static final int MAX_RELAYS = 4;
    private static final Duration MAX_RELAY_TIME = Duration.ofMillis(300);

    private final String mUpstreamId;
    private final boolean mConfirm;
    private final UpstreamPaths mPaths;
    private final RelayDirectory mRelays;
    private final Set<String> mTried = new HashSet<>();
    private final long mStartedNs;
    private long mRelayStartNs = Long.MIN_VALUE;
    private boolean mDirectFailed;

    /** What to do next. */
    public sealed interface Step {
        /** Connect to the upstream. */
        record Direct() implements Step {}

        /**
         * Ask another daemon to connect to it.
         *
         * @param peer address of the daemon
         */
        record Relay(String peer) implements Step {}

        /**
         * Give up.
         *
         * @param fault what is at fault
         */
        record Stop(PathFault fault) implements Step {}
    }

    /**
     * Creates a search.
     *
     * @param upstreamId id of the upstream
     * @param confirm whether another daemon is asked before an upstream is taken to be at fault,
     *     even if this daemon reaches others meanwhile
     * @param paths direct paths of this daemon
     * @param relays other daemons
     * @param nowNs monotonic time
     */
    public PathSearch(
            String upstreamId,
            boolean confirm,
            UpstreamPaths paths,
            RelayDirectory relays,
            long nowNs) {
        mUpstreamId = upstreamId;
        mConfirm = confirm;
        mPaths = paths;
        mRelays = relays;
        mStartedNs = nowNs;
    }

    /**
     * Returns the first step.
     *
     * @param nowNs monotonic time
     * @return what to do
     */
    public Step first(long nowNs) {
        return mPaths.isDirect(mUpstreamId) ? new Step.Direct() : nextRelay(nowNs);
    }

    /**
     * Handles a direct connection that failed before the request was sent.
     *
     * @param nowNs monotonic time
     * @return what to do
     */
    public Step onDirectFailed(long nowNs) {
        mDirectFailed = true;
        if (!mConfirm && mPaths.othersAnsweredSince(mUpstreamId, mStartedNs)) {
            return new Step.Stop(PathFault.UNCONFIRMED);
        }
        return nextRelay(nowNs);
    }

    /**
     * Handles a daemon that opened a path.
     *
     * @param peer address of the daemon
     * @param nowNs monotonic time
     */
    public void onOpened(String peer, long nowNs) {
        mRelays.onOpened(peer, nowNs);
        if (mDirectFailed) {
            mPaths.onBroken(mUpstreamId);
        }
    }

    /**
     * Handles a daemon that refused.
     *
     * @param peer address of the daemon
     * @param status its answer
     * @param nowNs monotonic time
     * @return what to do
     */
    public Step onRefused(String peer, RelayReply.Status status, long nowNs) {
        mRelays.onRefused(peer, status, nowNs);
        if (status == RelayReply.Status.UNREACHABLE) {
            mPaths.onUpstreamFault(mUpstreamId);
            return new Step.Stop(PathFault.UPSTREAM);
        }
        return nextRelay(nowNs);
    }

    /**
     * Handles a daemon that did not answer.
     *
     * @param peer address of the daemon
     * @param nowNs monotonic time
     * @return what to do
     */
    public Step onRelayUnreachable(String peer, long nowNs) {
        mRelays.onUnreachable(peer, nowNs);
        return nextRelay(nowNs);
    }

    private Step nextRelay(long nowNs) {
        if (mRelayStartNs == Long.MIN_VALUE) {
            mRelayStartNs = nowNs;
        }
        boolean timeLeft = nowNs - mRelayStartNs < MAX_RELAY_TIME.toNanos();
        if (mTried.size() < MAX_RELAYS && timeLeft) {
            var peer = mRelays.choose(mTried, nowNs);
            if (peer.isPresent()) {
                mTried.add(peer.get());
                return new Step.Relay(peer.get());
            }
        }
        return stop();
    }

    private Step stop() {
        if (mDirectFailed && mRelays.isEmpty()) {
            return new Step.Stop(PathFault.UPSTREAM);
        }
        if (mDirectFailed) {
            mPaths.onFailed(mUpstreamId);
        }
        return new Step.Stop(PathFault.OWN_PATH);
    }
}
