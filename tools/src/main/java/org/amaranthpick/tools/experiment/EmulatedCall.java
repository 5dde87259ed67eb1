package org.amaranthpick.tools.experiment;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.gateway.SilenceTimeout;
import org.amaranthpick.core.gateway.Target;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.standins.fleet.EmulatedStream;

/**
 * One caller's request at one daemon: attempts, resumption after silence, and the judgement of what
 * the caller sees. Follows the gateway's exchange, without sockets.
 */
final class EmulatedCall implements EmulatedStream.Listener {
    private static final int MOST_SENDS = 4;
    private static final double NS_PER_MS = 1e6;

    /** Gap after which callers leave. */
    private static final Duration CALLER_PATIENCE = Duration.ofSeconds(2);

    private final EmulatedDaemon mDaemon;
    private final Arrival mArrival;
    private final OnRefused mOnRefused;
    private final long mAskedNs;
    private final Set<String> mTried = new HashSet<>();
    private final SilenceTimeout mSilenceTimeout;
    private Optional<EmulatedStream> mStream = Optional.empty();
    private Optional<Target> mTarget = Optional.empty();
    private Cancellable mCheck = () -> {};
    private Cancellable mPatience = () -> {};
    private boolean mAnyEvent;
    private boolean mLate;
    private boolean mEnded;
    private long mLastNs;
    private int mWritten;
    private int mSends;

    /** Decides whether a refused caller comes back. */
    @FunctionalInterface
    interface OnRefused {
        /**
         * Called in place of the end.
         *
         * @return true if the caller comes back, and this call doesn't count
         */
        boolean comesBack();
    }

    EmulatedCall(EmulatedDaemon daemon, Arrival arrival, long askedNs, OnRefused onRefused) {
        mDaemon = daemon;
        mArrival = arrival;
        mAskedNs = askedNs;
        mOnRefused = onRefused;
        mSilenceTimeout = new SilenceTimeout(daemon.route());
    }

    void start() {
        mLastNs = mDaemon.nowNs();
        mDaemon.repeats().onRequest(mLastNs);
        waitFor(
                mArrival.patienceMs() > 0
                        ? Duration.ofMillis(mArrival.patienceMs())
                        : CALLER_PATIENCE);
        if (mDaemon.policy().admits(mDaemon.service(), mLastNs)) {
            attempt();
        } else {
            fail();
        }
    }

    private void attempt() {
        Optional<Target> target =
                mDaemon.policy().choose(mDaemon.service(), mTried, mDaemon.nowNs());
        if (target.isEmpty()) {
            fail();
        } else {
            send(target.get());
        }
    }

    private void send(Target target) {
        mSends++;
        mTarget = Optional.of(target);
        mDaemon.policy().onSent(target);
        mSilenceTimeout.onAttempt();
        mLastNs = mDaemon.nowNs();
        checkIn(mSilenceTimeout.timeout());
        mStream =
                Optional.of(
                        mDaemon.fleet()
                                .send(
                                        target.chain().orElseThrow(),
                                        mArrival.promptTokens() + mWritten,
                                        mArrival.answerTokens() - mWritten,
                                        this));
    }

    @Override
    public void onEvent(int tokens) {
        long nowNs = mDaemon.nowNs();
        double pauseMs = (nowNs - mLastNs) / NS_PER_MS;
        if (!mAnyEvent) {
            double firstMs = (nowNs - mAskedNs) / NS_PER_MS;
            mDaemon.tally().onFirstEvent(firstMs);
            mLate = firstMs > mDaemon.route().targetLatency().toMillis();
        } else {
            mLate |= pauseMs > mDaemon.route().targetGap().orElseThrow().toMillis();
        }
        if (mSilenceTimeout.hasReceivedEvent()) {
            mDaemon.policy().onEvent(mTarget.get(), pauseMs, tokens, nowNs);
        } else {
            praise();
        }
        mAnyEvent = true;
        mSilenceTimeout.onEvent(Duration.ofNanos(nowNs - mLastNs));
        mLastNs = nowNs;
        mWritten += tokens;
        waitFor(CALLER_PATIENCE);
    }

    @Override
    public void onComplete() {
        praise();
        end(mLate ? CallTally.Outcome.LATE : CallTally.Outcome.ON_TIME);
    }

    private void praise() {
        mTarget.get()
                .chain()
                .get()
                .stages()
                .forEach(part -> mDaemon.health().onSuccess(part.engine().id(), mDaemon.nowNs()));
    }

    @Override
    public void onRefused() {
        String first = mTarget.get().upstream().id();
        mDaemon.health().onBusy(first, mDaemon.nowNs());
        mTried.add(first);
        leaveAttempt();
        again();
    }

    @Override
    public void onBroken() {
        String first = mTarget.get().upstream().id();
        mTried.add(first);
        leaveAttempt();
        again();
    }

    private void again() {
        if (mSends < MOST_SENDS && mDaemon.repeats().tryAcquire(mDaemon.nowNs())) {
            attempt();
        } else {
            fail();
        }
    }

    private void check() {
        if (mEnded) {
            return;
        }
        Duration left =
                mSilenceTimeout.timeout().minus(Duration.ofNanos(mDaemon.nowNs() - mLastNs));
        if (!left.isNegative() && !left.isZero()) {
            checkIn(left);
            return;
        }
        EmulatedStream asked = mStream.get();
        mDaemon.scheduler().schedule(EmulatedDaemon.QUESTION, () -> onReport(asked));
    }

    private void onReport(EmulatedStream asked) {
        if (mEnded || mStream.filter(stream -> stream == asked).isEmpty()) {
            return;
        }
        Optional<String> culprit = mDaemon.fleet().stalledAt(asked);
        if (culprit.isEmpty()) {
            mSilenceTimeout.onFalseAlarm();
            checkIn(mSilenceTimeout.timeout());
            return;
        }
        mDaemon.health().onUnreachable(culprit.get(), mDaemon.nowNs());
        mTried.add(culprit.get());
        Optional<Target> next = mDaemon.policy().choose(mDaemon.service(), mTried, mDaemon.nowNs());
        if (next.isEmpty()
                || mSends >= MOST_SENDS
                || !mDaemon.repeats().tryAcquire(mDaemon.nowNs())) {
            mSilenceTimeout.onFalseAlarm();
            checkIn(mSilenceTimeout.timeout());
            return;
        }
        leaveAttempt();
        send(next.get());
    }

    private void onImpatient() {
        if (!mEnded) {
            boolean asWished = mArrival.patienceMs() > 0 && !mAnyEvent;
            leaveAttempt();
            end(asWished ? CallTally.Outcome.LEFT : CallTally.Outcome.BROKEN);
        }
    }

    private void leaveAttempt() {
        mStream.ifPresent(EmulatedStream::cancel);
        mStream = Optional.empty();
        mTarget.ifPresent(mDaemon.policy()::onEnded);
        mTarget = Optional.empty();
    }

    private void fail() {
        if (mAnyEvent) {
            end(CallTally.Outcome.BROKEN);
        } else if (mOnRefused.comesBack()) {
            close();
        } else {
            end(CallTally.Outcome.REFUSED);
        }
    }

    private void end(CallTally.Outcome outcome) {
        close();
        mDaemon.tally().onEnd(mAskedNs / NS_PER_MS, outcome);
    }

    private void close() {
        leaveAttempt();
        mEnded = true;
        mCheck.cancel();
        mPatience.cancel();
    }

    private void checkIn(Duration delay) {
        mCheck.cancel();
        mCheck = mDaemon.scheduler().schedule(delay, this::check);
    }

    private void waitFor(Duration patience) {
        mPatience.cancel();
        mPatience = mDaemon.scheduler().schedule(patience, this::onImpatient);
    }
}
