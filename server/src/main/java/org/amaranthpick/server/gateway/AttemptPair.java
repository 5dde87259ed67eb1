package org.amaranthpick.server.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.amaranthpick.core.gateway.EventStreamSplitter;

/**
 * Attempts of one request that are in progress: the current one, and a standby while the current
 * one has stalled. Whichever answers first is continued and the other one cancelled. An upstream
 * that is silent for a moment may be the only one that serves the request.
 */
final class AttemptPair {
    private final SendHistory mSends;
    private final PromptCrashGuard mCrashGuard;
    private EventStreamSplitter mEventSplitter;
    private StallDetector mStallDetector;
    private Optional<ForwardAttempt> mCurrent = Optional.empty();
    private Optional<Standby> mStandby = Optional.empty();

    /** An attempt with what it needs to become the current one. */
    private static final class Standby {
        private final ForwardAttempt mAttempt;
        private final EventStreamSplitter mEventSplitter;
        private final StallDetector mStallDetector;
        private Runnable mStartStream = () -> {};

        private Standby(
                ForwardAttempt attempt, OptionalLong lastEventId, StallDetector stallDetector) {
            mAttempt = attempt;
            mEventSplitter = new EventStreamSplitter(lastEventId);
            mStallDetector = stallDetector;
        }
    }

    /**
     * Creates a pair without attempts.
     *
     * @param lastEventId id of the last event that the caller has received, empty if none
     * @param stallDetector detector for the attempts
     * @param sends records attempts that are cancelled
     * @param crashGuard notified when an attempt becomes the current one
     */
    AttemptPair(
            OptionalLong lastEventId,
            StallDetector stallDetector,
            SendHistory sends,
            PromptCrashGuard crashGuard) {
        mEventSplitter = new EventStreamSplitter(lastEventId);
        mStallDetector = stallDetector;
        mSends = sends;
        mCrashGuard = crashGuard;
    }

    /** Starts an attempt in place of the current one, which has ended. */
    void start(ForwardAttempt attempt) {
        mCrashGuard.onAttempt();
        mCurrent = Optional.of(attempt);
        mStallDetector.onAttempt(attempt);
        attempt.start();
    }

    /** Starts an attempt beside the current one. */
    void startStandby(ForwardAttempt attempt) {
        Standby standby =
                new Standby(attempt, mEventSplitter.lastId(), mStallDetector.forOtherAttempt());
        mStandby = Optional.of(standby);
        standby.mStallDetector.onAttempt(attempt);
        attempt.start();
    }

    /** Pauses the current attempt while the caller reads too slowly. */
    void pause() {
        mCurrent.ifPresent(ForwardAttempt::pause);
        mStallDetector.pause();
    }

    /** Resumes the current attempt. */
    void resume() {
        mStallDetector.resume();
        mCurrent.ifPresent(ForwardAttempt::resume);
    }

    Optional<ForwardAttempt> current() {
        return mCurrent;
    }

    Optional<ForwardAttempt> standby() {
        return mStandby.map(standby -> standby.mAttempt);
    }

    boolean hasStandby() {
        return mStandby.isPresent();
    }

    boolean isStandby(ForwardAttempt attempt) {
        return mStandby.filter(standby -> standby.mAttempt == attempt).isPresent();
    }

    /** Returns the detector for the current attempt. */
    StallDetector stallDetector() {
        return mStallDetector;
    }

    /** Returns the splitter for the events of an attempt. */
    EventStreamSplitter eventSplitter(ForwardAttempt attempt) {
        return isStandby(attempt) ? mStandby.get().mEventSplitter : mEventSplitter;
    }

    /** Returns the id of the last event that the caller has received, empty if none. */
    OptionalLong lastEventId() {
        return mEventSplitter.lastId();
    }

    /** Returns whether events of an attempt were received; those of a standby make it current. */
    boolean hasReceivedEvent(ForwardAttempt attempt) {
        return !isStandby(attempt) && mStallDetector.hasReceivedEvent();
    }

    /** Returns whether the current attempt meets a condition and is silent for long. */
    boolean isCurrentSilent(Predicate<ForwardAttempt> condition) {
        return mCurrent.filter(condition).isPresent() && mStallDetector.exceedsUsualPause();
    }

    /** Returns whether the standby meets a condition and is silent for long. */
    boolean isStandbySilent(Predicate<ForwardAttempt> condition) {
        return mStandby.filter(
                        standby ->
                                condition.test(standby.mAttempt)
                                        && standby.mStallDetector.exceedsUsualPause())
                .isPresent();
    }

    /** Keeps what starts the response to the caller with the head that the standby received. */
    void onStandbyHead(Runnable startStream) {
        mStandby.get().mStartStream = startStream;
    }

    /** Continues an attempt that has answered, and cancels the other one. */
    void prefer(ForwardAttempt attempt) {
        if (isStandby(attempt)) {
            ForwardAttempt stalled = mCurrent.get();
            mSends.onBrokenOff(stalled, mStallDetector.hasReceivedEvent());
            stalled.cancel();
            replaceCurrent();
        } else if (mStandby.isPresent()) {
            cancelStandby();
            mStallDetector.backOff();
        }
    }

    /**
     * Removes one of two attempts that has ended; the other one is the current one then.
     *
     * @return whether it was the standby
     */
    boolean removeEnded(ForwardAttempt attempt) {
        if (isStandby(attempt)) {
            mStandby.get().mStallDetector.stop();
            mStandby = Optional.empty();
            return true;
        }
        replaceCurrent();
        return false;
    }

    private void replaceCurrent() {
        Standby standby = mStandby.get();
        mStandby = Optional.empty();
        mStallDetector.stop();
        mStallDetector = standby.mStallDetector;
        mEventSplitter = standby.mEventSplitter;
        mCurrent = Optional.of(standby.mAttempt);
        mCrashGuard.onAttempt();
        standby.mStartStream.run();
    }

    /** Raises the silence after which the standby counts as stalled. */
    void backOffStandby() {
        mStandby.ifPresent(standby -> standby.mStallDetector.backOff());
    }

    void cancelStandby() {
        mStandby.ifPresent(
                standby -> {
                    mStandby = Optional.empty();
                    standby.mStallDetector.stop();
                    mSends.onBrokenOff(standby.mAttempt, false);
                    standby.mAttempt.cancel();
                });
    }

    /** Cancels all attempts. */
    void cancel() {
        mCurrent.ifPresent(
                attempt -> {
                    mSends.onCancelled(attempt);
                    attempt.cancel();
                });
        cancelStandby();
    }

    /** Stops watching the current attempt, which has ended, and cancels the other one. */
    void stop() {
        mStallDetector.stop();
        cancelStandby();
    }
}
