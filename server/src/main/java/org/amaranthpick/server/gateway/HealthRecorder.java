package org.amaranthpick.server.gateway;

import org.amaranthpick.core.gateway.Target;
import org.amaranthpick.core.gateway.UpstreamVerdict;
import org.amaranthpick.core.reach.PathFault;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.server.http.CallEnd;

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

    /** Records that no connection to the upstream could be opened. */
    void recordNotSent(UpstreamEntry upstream, CallEnd.NotSent end) {
        if (end.fault() == PathFault.UPSTREAM) {
            recordUnreachable(upstream, end.reason());
        } else if (end.fault() == PathFault.UNCONFIRMED) {
            recordFailure(upstream, end.reason());
        }
    }

    /** Records that a request was not run, and returns the upstream at fault. */
    UpstreamEntry recordNotRun(Target target, UpstreamVerdict.NotRun notRun, String reason) {
        UpstreamEntry failed =
                notRun.faultyAddress()
                        .flatMap(address -> mContext.register().findByAddress(address))
                        .orElse(target.upstream());
        if (notRun.misdirected()) {
            recordFailure(failed, reason);
        } else if (target.chain().isPresent()) {
            mContext.health().onBusy(failed.id(), nowNs());
        }
        return failed;
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
