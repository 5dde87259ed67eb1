package org.amaranthpick.server.gateway;

import org.amaranthpick.core.gateway.Target;
import org.amaranthpick.core.register.UpstreamEntry;

/** Records and logs what one request shows of the health of upstreams. */
final class HealthRecorder {
    private final GatewayContext mContext;
    private final ExchangeLog mLog;

    HealthRecorder(GatewayContext context, ExchangeLog log) {
        mContext = context;
        mLog = log;
    }

    /** Records a failure that the upstream caused, unless the path to it may have. */
    void recordFailure(UpstreamEntry upstream, String reason) {
        mLog.logHealth(upstream, reason);
        if (!mContext.paths().isDirect(upstream.id())) {
            return;
        }
        mContext.health().onFailure(upstream.id(), nowNs());
    }

    /** Records that the upstream cannot be reached or does not respond. */
    void recordUnreachable(UpstreamEntry upstream, String reason) {
        mLog.logHealth(upstream, reason);
        mContext.health().onUnreachable(upstream.id(), nowNs());
    }

    /** Records a success of all upstreams that the request passed through. */
    void recordSuccess(Target target) {
        target.upstreamIds().forEach(id -> mContext.health().onSuccess(id, nowNs()));
    }

    private long nowNs() {
        return mContext.scheduler().monotonicNs();
    }
}
