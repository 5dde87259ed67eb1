package org.amaranthpick.core.admit;

import java.util.function.Consumer;
import org.amaranthpick.core.time.Cancellable;

/** Request that waits for admission. */
final class Waiting implements Comparable<Waiting> {
    private final AdmissionRequest mRequest;
    private final Consumer<AdmissionDecision> mThen;
    private final long mArrivedNs;
    private final long mOrderNs;
    private final long mSequence;
    private Cancellable mTimer = () -> {};

    /**
     * Creates a waiting request.
     *
     * @param request the request
     * @param then told of the decision
     * @param arrivedNs monotonic time of arrival
     * @param headStartNs head start that its priority gives
     * @param sequence number of arrival
     */
    Waiting(
            AdmissionRequest request,
            Consumer<AdmissionDecision> then,
            long arrivedNs,
            long headStartNs,
            long sequence) {
        mRequest = request;
        mThen = then;
        mArrivedNs = arrivedNs;
        mOrderNs = arrivedNs - headStartNs;
        mSequence = sequence;
    }

    AdmissionRequest request() {
        return mRequest;
    }

    Consumer<AdmissionDecision> then() {
        return mThen;
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
    public int compareTo(Waiting other) {
        int byOrder = Long.compare(mOrderNs, other.mOrderNs);
        return byOrder != 0 ? byOrder : Long.compare(mSequence, other.mSequence);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Waiting waiting && waiting.mSequence == mSequence;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(mSequence);
    }
}
