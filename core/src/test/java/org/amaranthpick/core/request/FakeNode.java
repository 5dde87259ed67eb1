package org.amaranthpick.core.request;

import java.time.Duration;
import java.time.Instant;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.TokenFrame;
import org.amaranthpick.core.upstream.TokenListener;
import org.amaranthpick.core.upstream.UpstreamStream;

/** One process on virtual time: it can stand still, die, and have a wrong wall clock. */
final class FakeNode implements Scheduler {
    private final VirtualScheduler mTime;
    private final Duration mSkew;
    private boolean mDead;
    private long mStandsUntilNs;

    FakeNode(VirtualScheduler time, Duration skew) {
        mTime = time;
        mSkew = skew;
    }

    void die() {
        mDead = true;
    }

    boolean isDead() {
        return mDead;
    }

    /** Lets the process stand still; what is due meanwhile happens afterwards. */
    void standStill(Duration time) {
        mStandsUntilNs = mTime.monotonicNs() + time.toNanos();
    }

    /** Runs an event of this process, later if it stands still, never if it is dead. */
    void run(Runnable event) {
        if (mDead) {
            return;
        }
        long waitNs = mStandsUntilNs - mTime.monotonicNs();
        if (waitNs > 0) {
            var unused = mTime.schedule(Duration.ofNanos(waitNs), () -> run(event));
        } else {
            event.run();
        }
    }

    @Override
    public Instant instant() {
        return mTime.instant().plus(mSkew);
    }

    @Override
    public long monotonicNs() {
        return mTime.monotonicNs();
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        return mTime.schedule(delay, () -> run(task));
    }

    /** Starts an attempt whose events reach this process only while it lives. */
    UpstreamStream generate(
            FakeUpstreams upstreams,
            Configuration configuration,
            GenerateCall call,
            TokenListener listener) {
        TokenListener guarded =
                new TokenListener() {
                    @Override
                    public void onSending() {
                        run(listener::onSending);
                    }

                    @Override
                    public void onToken(TokenFrame frame) {
                        run(() -> listener.onToken(frame));
                    }

                    @Override
                    public void onEnd(StreamEnd end) {
                        run(() -> listener.onEnd(end));
                    }
                };
        return upstreams.generate(configuration, call, guarded);
    }
}
