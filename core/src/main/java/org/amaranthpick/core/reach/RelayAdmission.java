package org.amaranthpick.core.reach;

import java.util.Optional;

/**
 * Decides whether this daemon opens a path to an upstream for another one. It only does so over its
 * own direct path, so that no request passes through two other daemons, and for a bounded number of
 * requests, so that its own callers are served. Confined to one thread.
 */
public final class RelayAdmission {
    private final UpstreamPaths mPaths;
    private final int mMaxRelayed;

    /**
     * Creates an admission.
     *
     * @param paths direct paths of this daemon
     * @param maxRelayed most requests relayed at the same time
     */
    public RelayAdmission(UpstreamPaths paths, int maxRelayed) {
        mPaths = paths;
        mMaxRelayed = maxRelayed;
    }

    /**
     * Decides on a path before it is opened.
     *
     * @param upstreamId id of the upstream
     * @param available whether the upstream is registered and takes requests
     * @param leaving whether this daemon is shutting down
     * @param relayed paths that are open for other daemons
     * @return reason to refuse it, empty to open it
     */
    public Optional<RelayReply.Status> refusal(
            String upstreamId, boolean available, boolean leaving, int relayed) {
        if (leaving) {
            return Optional.of(RelayReply.Status.LEAVING);
        }
        if (!available) {
            return Optional.of(RelayReply.Status.UNAVAILABLE);
        }
        if (!mPaths.isDirect(upstreamId)) {
            return Optional.of(RelayReply.Status.PARTITIONED);
        }
        return relayed < mMaxRelayed ? Optional.empty() : Optional.of(RelayReply.Status.FULL);
    }

    /**
     * Interprets a path that could not be opened. A daemon with broken paths of its own cannot tell
     * whether this is another one.
     *
     * @param upstreamId id of the upstream
     * @param reachedWitness id of an upstream that was reached after the failure, if any
     * @return answer for the other daemon
     */
    public RelayReply.Status onOpenFailed(String upstreamId, Optional<String> reachedWitness) {
        if (reachedWitness.isPresent() && mPaths.isWhole()) {
            return RelayReply.Status.UNREACHABLE;
        }
        if (reachedWitness.isEmpty()) {
            mPaths.onFailed(upstreamId);
        }
        return RelayReply.Status.PARTITIONED;
    }
}
