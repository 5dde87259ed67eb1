package org.amaranthpick.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.amaranthpick.platform.standin.ReceivedResponse;
import org.amaranthpick.platform.standin.StandInCaller;

/** One caller: keeps its connection to a daemon until the daemon or a fault ends it. */
final class CallerLoop implements Runnable {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final Duration DEADLINE = Duration.ofSeconds(4);
    private static final Duration PATIENCE = Duration.ofSeconds(6);
    private static final Duration PAUSE = Duration.ofMillis(15);
    private static final int MOST_REQUESTS = 20;
    private static final List<CallKind> KINDS = List.of(CallKind.values());

    private final SoakSite mSite;
    private final int mNumber;
    private final SplittableRandom mRandom;
    private final BooleanSupplier mCalm;
    private final List<CallRecord> mCalls = new CopyOnWriteArrayList<>();
    private volatile boolean mStopped;
    private int mSent;

    CallerLoop(SoakSite site, int number, SplittableRandom random, BooleanSupplier calm) {
        mSite = site;
        mNumber = number;
        mRandom = random;
        mCalm = calm;
    }

    void stop() {
        mStopped = true;
    }

    List<CallRecord> calls() {
        return mCalls;
    }

    @Override
    public void run() {
        while (!mStopped) {
            DaemonProcess daemon = mSite.daemon(mRandom.nextInt(SoakSite.DAEMONS));
            try (StandInCaller caller = new StandInCaller(daemon.callers(), PATIENCE)) {
                askUntilClosed(caller);
            } catch (IOException e) {
                sLogger.atFine().withCause(e).log("caller: no connection");
            }
            LockSupport.parkNanos(PAUSE.toNanos());
        }
    }

    private void askUntilClosed(StandInCaller caller) {
        for (int i = 0; i < MOST_REQUESTS && !mStopped; i++) {
            CallKind kind = KINDS.get(mRandom.nextInt(KINDS.size()));
            String id = String.format(Locale.ROOT, "c%d-%d", mNumber, mSent++);
            boolean calmBefore = mCalm.getAsBoolean();
            ReceivedResponse answer =
                    caller.send(kind.method(), kind.path(), id, "key-1", DEADLINE);
            mCalls.add(new CallRecord(id, kind, answer, calmBefore && mCalm.getAsBoolean()));
            if (answer.closesConnection()) {
                return;
            }
            LockSupport.parkNanos(PAUSE.toNanos());
        }
    }
}
