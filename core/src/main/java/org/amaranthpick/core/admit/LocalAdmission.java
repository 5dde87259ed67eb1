package org.amaranthpick.core.admit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.request.RefusalReason;
import org.amaranthpick.core.time.Cancellable;

/** Admission by this daemon alone: requests in progress and waiting per workspace are bounded. */
public final class LocalAdmission implements Admission {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final int mMaxWaiting;
    private final DecisionLog mLog;
    private final Map<Identity, Lane> mLanes = new HashMap<>();

    /** Requests of one workspace. */
    private static final class Lane {
        private final Deque<Waiting> mWaiting = new ArrayDeque<>();
        private int mInProgress;
    }

    /** Request that waits. */
    private record Waiting(AdmissionRequest request, Consumer<AdmissionDecision> then) {}

    /**
     * Creates an admission.
     *
     * @param maxWaiting requests that may wait per workspace
     * @param log told of each decision
     */
    public LocalAdmission(int maxWaiting, DecisionLog log) {
        mMaxWaiting = maxWaiting;
        mLog = log;
    }

    @Override
    public Cancellable request(AdmissionRequest request, Consumer<AdmissionDecision> then) {
        Waiting waiting = new Waiting(request, then);
        boolean admitted = false;
        synchronized (this) {
            Lane lane = mLanes.computeIfAbsent(request.workspace().id(), key -> new Lane());
            if (lane.mInProgress < request.workspace().limits().concurrentRequests()) {
                lane.mInProgress++;
                admitted = true;
            } else if (lane.mWaiting.size() < mMaxWaiting) {
                lane.mWaiting.add(waiting);
                return () -> cancel(waiting);
            }
        }
        if (admitted) {
            admit(waiting);
        } else {
            refuse(waiting);
        }
        return () -> {};
    }

    private void admit(Waiting waiting) {
        mLog.record(DecisionKind.ADMISSION, waiting.request().requestId(), "admitted");
        waiting.then().accept(new AdmissionDecision.Admitted(new LanePermit(waiting)));
    }

    private void refuse(Waiting waiting) {
        String message = "queue of the workspace is full";
        mLog.record(DecisionKind.ADMISSION, waiting.request().requestId(), message);
        waiting.then()
                .accept(
                        new AdmissionDecision.Refused(
                                RefusalReason.QUEUE_FULL, message, Optional.of(RETRY_AFTER)));
    }

    private synchronized void cancel(Waiting waiting) {
        mLanes.get(waiting.request().workspace().id()).mWaiting.remove(waiting);
    }

    private void release(Waiting done) {
        Waiting next;
        synchronized (this) {
            Lane lane = mLanes.get(done.request().workspace().id());
            next = lane.mWaiting.poll();
            if (next == null) {
                lane.mInProgress--;
            }
        }
        if (next != null) {
            admit(next);
        }
    }

    private final class LanePermit implements Permit {
        private final Waiting mRequest;
        private final AtomicBoolean mClosed = new AtomicBoolean();

        LanePermit(Waiting request) {
            mRequest = request;
        }

        @Override
        public void used(int tokens) {
            // Tokens are not limited here.
        }

        @Override
        public void close() {
            if (mClosed.compareAndSet(false, true)) {
                release(mRequest);
            }
        }
    }
}
