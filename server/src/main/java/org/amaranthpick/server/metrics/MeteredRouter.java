package org.amaranthpick.server.metrics;

import java.time.Duration;
import org.amaranthpick.core.request.AnswerSink;
import org.amaranthpick.core.request.ModelRequest;
import org.amaranthpick.core.request.Outcome;
import org.amaranthpick.core.request.RequestHandle;
import org.amaranthpick.core.request.Router;
import org.amaranthpick.core.request.ServiceRequest;
import org.amaranthpick.core.request.ServiceSink;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.upstream.ServiceReply;

/** Router that records metrics for the requests it passes to another router. */
public final class MeteredRouter implements Router {
    private final Router mDelegate;
    private final DaemonMetrics mMetrics;
    private final Scheduler mScheduler;

    /**
     * Creates a router.
     *
     * @param delegate router that handles the requests
     * @param metrics metrics to update
     * @param scheduler clock
     */
    public MeteredRouter(Router delegate, DaemonMetrics metrics, Scheduler scheduler) {
        mDelegate = delegate;
        mMetrics = metrics;
        mScheduler = scheduler;
    }

    @Override
    public RequestHandle submit(ModelRequest request, AnswerSink sink) {
        mMetrics.onRequest(request.workspace().id());
        return mDelegate.submit(
                request, new MeteredAnswerSink(request.workspace().id().fleet(), sink));
    }

    @Override
    public RequestHandle submit(ServiceRequest request, ServiceSink sink) {
        mMetrics.onRequest(request.workspace().id());
        return mDelegate.submit(
                request, new MeteredServiceSink(request.workspace().id().fleet(), sink));
    }

    @Override
    public int requestsInProgress() {
        return mDelegate.requestsInProgress();
    }

    private void recordOutcome(String fleet, String kind, Outcome outcome) {
        if (outcome instanceof Outcome.NotRun notRun) {
            mMetrics.onOutcome(fleet, kind, "not-run");
            mMetrics.onRefusal(fleet, notRun.reason().label());
        } else if (outcome instanceof Outcome.Interrupted) {
            mMetrics.onOutcome(fleet, kind, "interrupted");
        } else {
            mMetrics.onOutcome(fleet, kind, "answered");
        }
    }

    private final class MeteredAnswerSink implements AnswerSink {
        private final String mFleet;
        private final AnswerSink mSink;
        private long mLastTokenNs = mScheduler.monotonicNs();

        MeteredAnswerSink(String fleet, AnswerSink sink) {
            mFleet = fleet;
            mSink = sink;
        }

        @Override
        public void onToken(int index, String text) {
            long nowNs = mScheduler.monotonicNs();
            Duration gap = Duration.ofNanos(nowNs - mLastTokenNs);
            mLastTokenNs = nowNs;
            if (index == 0) {
                mMetrics.onFirstToken(mFleet, gap);
            } else {
                mMetrics.onToken(mFleet, gap);
            }
            mSink.onToken(index, text);
        }

        @Override
        public void onOutcome(Outcome outcome) {
            recordOutcome(mFleet, "model", outcome);
            mSink.onOutcome(outcome);
        }
    }

    private final class MeteredServiceSink implements ServiceSink {
        private final String mFleet;
        private final ServiceSink mSink;

        MeteredServiceSink(String fleet, ServiceSink sink) {
            mFleet = fleet;
            mSink = sink;
        }

        @Override
        public void onAnswered(ServiceReply.Answered reply, boolean replayed) {
            mMetrics.onOutcome(mFleet, "service", "answered");
            mSink.onAnswered(reply, replayed);
        }

        @Override
        public void onFailed(Outcome outcome) {
            recordOutcome(mFleet, "service", outcome);
            mSink.onFailed(outcome);
        }
    }
}
