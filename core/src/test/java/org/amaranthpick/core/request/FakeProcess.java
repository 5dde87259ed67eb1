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

/** Process on virtual time that can freeze, be killed, and have a wall clock offset. */
final class FakeProcess implements Scheduler {
    private final VirtualScheduler mTime;
    private final Duration mClockSkew;
    private boolean mKilled;
    private long mFrozenUntilNs;

    FakeProcess(VirtualScheduler time, Duration clockSkew) {
        mTime = time;
        mClockSkew = clockSkew;
    }

    void kill() {
        mKilled = true;
    }

    boolean isKilled() {
        return mKilled;
    }

    /** Freezes the process; events that are due meanwhile run afterwards. */
    void freeze(Duration duration) {
        mFrozenUntilNs = mTime.monotonicNs() + duration.toNanos();
    }

    /** Runs an event: after a freeze if the process is frozen, never if it was killed. */
    void run(Runnable event) {
        if (mKilled) {
            return;
        }
        long waitNs = mFrozenUntilNs - mTime.monotonicNs();
        if (waitNs > 0) {
            var unused = mTime.schedule(Duration.ofNanos(waitNs), () -> run(event));
        } else {
            event.run();
        }
    }

    @Override
    public Instant instant() {
        return mTime.instant().plus(mClockSkew);
    }

    @Override
    public long monotonicNs() {
        return mTime.monotonicNs();
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        return mTime.schedule(delay, () -> run(task));
    }

    /** Starts an attempt whose events are delivered only while this process runs. */
    UpstreamStream generate(
            FakeUpstreams upstreams,
            Configuration configuration,
            GenerateCall call,
            TokenListener listener) {
        TokenListener processListener =
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
        return upstreams.generate(configuration, call, processListener);
    }
}
