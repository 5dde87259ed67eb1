package org.amaranthpick.core.gateway.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** One request on its way through the admission. Confined to one thread. */
public final class AdmissionTicket {
    private final ServiceAdmission mAdmission;
    private final AdmissionCandidate mCandidate;
    private final Duration mAge;
    private Optional<Consumer<LoadDecision>> mHandler = Optional.empty();
    private long mSequence;
    private long mSentNs;
    private boolean mSent;

    AdmissionTicket(ServiceAdmission admission, AdmissionCandidate candidate, Duration age) {
        mAdmission = admission;
        mCandidate = candidate;
        mAge = age;
    }

    /**
     * Asks for a decision, which may be given before this method returns.
     *
     * @param handler receives the decision, unless the ticket is closed before
     */
    public void request(Consumer<LoadDecision> handler) {
        mHandler = Optional.of(handler);
        mAdmission.request(this);
    }

    /** Records the first event of the answer. */
    public void onFirstEvent() {
        mAdmission.onFirstEvent(this);
    }

    /**
     * Records the end of the request, or that its caller left while it was waiting.
     *
     * @param answered whether it was answered completely
     */
    public void close(boolean answered) {
        mHandler = Optional.empty();
        mAdmission.onClosed(this, answered);
    }

    AdmissionCandidate candidate() {
        return mCandidate;
    }

    /** Returns the time since the first attempt of the caller, on arrival. */
    Duration age() {
        return mAge;
    }

    boolean isUndecided() {
        return mHandler.isPresent();
    }

    boolean isSent() {
        return mSent;
    }

    long sentNs() {
        return mSentNs;
    }

    long sequence() {
        return mSequence;
    }

    void setSequence(long sequence) {
        mSequence = sequence;
    }

    void decide(LoadDecision decision, long nowNs) {
        mSent = decision.outcome() == LoadDecision.Outcome.SENT;
        mSentNs = nowNs;
        Optional<Consumer<LoadDecision>> handler = mHandler;
        mHandler = Optional.empty();
        handler.ifPresent(h -> h.accept(decision));
    }
}
