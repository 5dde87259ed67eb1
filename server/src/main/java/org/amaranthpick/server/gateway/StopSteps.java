package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;

/** Steps of a planned stop of a gateway. */
final class StopSteps implements StopSequence.Steps {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final GatewayHandler mHandler;
    private final UpstreamReach mReach;
    private final GatewayListeners mListeners;
    private final Runnable mWithdraw;

    /**
     * Creates the steps.
     *
     * @param handler handles the requests of callers
     * @param reach handles those of other daemons
     * @param listeners accept the connections of both
     * @param withdraw withdraws readiness and ends the daemon's duties
     */
    StopSteps(
            GatewayHandler handler,
            UpstreamReach reach,
            GatewayListeners listeners,
            Runnable withdraw) {
        mHandler = handler;
        mReach = reach;
        mListeners = listeners;
        mWithdraw = withdraw;
    }

    @Override
    public void withdraw() {
        sLogger.atInfo().log("stop: draining in_progress=%d", openCount());
        mHandler.drain();
        mReach.drain();
        mWithdraw.run();
    }

    @Override
    public void refuse() {
        mHandler.refuse();
        mListeners.connections().closeIdle();
    }

    @Override
    public void interrupt() {
        sLogger.atInfo().log("stop: interrupting in_progress=%d", openCount());
        mHandler.interrupt();
        mReach.interrupt();
    }

    @Override
    public void closeIdle() {
        mListeners.stopAccepting();
        mListeners.connections().closeWaiting();
    }

    @Override
    public int connectionCount() {
        return mListeners.connections().count();
    }

    @Override
    public int openCount() {
        return mHandler.openCount() + mReach.openCount();
    }
}
