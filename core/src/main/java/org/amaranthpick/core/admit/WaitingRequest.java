package org.amaranthpick.core.admit;

import java.util.function.Consumer;
import org.amaranthpick.core.time.Cancellable;

/**
 * Request that waits for admission. Requests are ordered by arrival time minus the head start of
 * their priority.
 */
final class WaitingRequest implements Comparable<WaitingRequest> {
    private final AdmissionRequest mRequest;
    private final Consumer<AdmissionDecision> mDecisionHandler;
    private final long mArrivedNs;
    private final long mQueueOrderNs;
    private final long mSequence;
    private Cancellable mTimer = () -> {};

    /**
     * Creates a waiting request.
     *
     * @param request request to admit
     * @param decisionHandler receives the decision
     * @param arrivedNs monotonic time of arrival
     * @param headStartNs head start given by the priority
     * @param sequence sequence number of arrival, which breaks ties
     */
    WaitingRequest(
            AdmissionRequest request,
            Consumer<AdmissionDecision> decisionHandler,
            long arrivedNs,
            long headStartNs,
            long sequence) {
        mRequest = request;
        mDecisionHandler = decisionHandler;
        mArrivedNs = arrivedNs;
        mQueueOrderNs = arrivedNs - headStartNs;
        mSequence = sequence;
    }

    AdmissionRequest request() {
        return mRequest;
    }

    Consumer<AdmissionDecision> decisionHandler() {
        return mDecisionHandler;
    }

    long arrivedNs() {
        return mArrivedNs;
    }

    void setTimer(Cancellable timer) {
        mTimer = timer;
    }

    void cancelTimer() {
        mTimer.cancel();
    }

    @Override
    public int compareTo(WaitingRequest other) {
        int byOrder = Long.compare(mQueueOrderNs, other.mQueueOrderNs);
        return byOrder != 0 ? byOrder : Long.compare(mSequence, other.mSequence);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof WaitingRequest waiting && waiting.mSequence == mSequence;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(mSequence);
    }
}
