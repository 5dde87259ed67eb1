package org.amaranthpick.soak;

import com.google.common.flogger.FluentLogger;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
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

    /** How much longer a caller waits than it says. */
    private static final Duration PATIENCE = Duration.ofSeconds(2);

    /** Part of its time after which a stream may be broken off. */
    private static final double MOST_OF_TIME = 0.7;

    private static final Duration PAUSE = Duration.ofMillis(15);
    private static final Duration DRIP = Duration.ofMillis(1500);
    private static final int SLOW_BYTES = 32;
    private static final Duration SLOW_PAUSE = Duration.ofMillis(10);
    private static final int MOST_REQUESTS = 20;
    private static final String BODY = "hello";
    private static final List<CallKind> KINDS = List.of(CallKind.values());

    private final SoakSite mSite;
    private final int mNumber;
    private final CallerHabit mHabit;
    private final Duration mDeadline;
    private final SplittableRandom mRandom;
    private final BooleanSupplier mCalm;
    private final List<CallRecord> mCalls = new CopyOnWriteArrayList<>();
    private volatile boolean mStopped;
    private int mSent;

    /** A request from its sending on. */
    private record Call(
            DaemonProcess daemon, String id, CallKind kind, boolean calmBefore, long startNs) {}

    CallerLoop(
            SoakSite site,
            int number,
            CallerHabit habit,
            Duration deadline,
            SplittableRandom random,
            BooleanSupplier calm) {
        mSite = site;
        mNumber = number;
        mHabit = habit;
        mDeadline = deadline;
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
            try (StandInCaller caller =
                    new StandInCaller(daemon.callers(), mDeadline.plus(PATIENCE))) {
                askUntilClosed(daemon, caller);
            } catch (IOException e) {
                sLogger.atFine().withCause(e).log("caller: no connection");
            }
            LockSupport.parkNanos(PAUSE.toNanos());
        }
    }

    private void askUntilClosed(DaemonProcess daemon, StandInCaller caller) {
        int most = mHabit == CallerHabit.USUAL ? MOST_REQUESTS : Integer.MAX_VALUE;
        if (mHabit == CallerHabit.READS_SLOWLY) {
            caller.setPace(SLOW_BYTES, SLOW_PAUSE);
        }
        boolean open = true;
        for (int i = 0; i < most && open && !mStopped; i++) {
            open =
                    switch (mHabit) {
                        case DRIPS -> drip(caller, newCall(daemon, drawPost()));
                        case SAME_PACKET ->
                                askAtOnce(
                                        caller,
                                        List.of(newCall(daemon, draw()), newCall(daemon, draw())));
                        default -> askAtOnce(caller, List.of(newCall(daemon, draw())));
                    };
            if (mHabit == CallerHabit.USUAL) {
                LockSupport.parkNanos(PAUSE.toNanos());
            }
        }
    }

    private CallKind draw() {
        return KINDS.get(mRandom.nextInt(KINDS.size()));
    }

    private CallKind drawPost() {
        return mRandom.nextBoolean() ? CallKind.STREAM : CallKind.NON_IDEMPOTENT;
    }

    private Call newCall(DaemonProcess daemon, CallKind kind) {
        String id = String.format(Locale.ROOT, "c%d-%d", mNumber, mSent++);
        return new Call(daemon, id, kind, mCalm.getAsBoolean(), System.nanoTime());
    }

    private byte[] bytes(Call call) {
        String body = call.kind().method().equals("POST") ? BODY : "";
        return StandInCaller.request(
                call.kind().method(),
                call.kind().path(),
                call.id(),
                "key-1",
                mDeadline,
                body.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends requests in one packet; returns whether the connection is open afterwards. */
    private boolean askAtOnce(StandInCaller caller, List<Call> calls) {
        ByteArrayOutputStream packet = new ByteArrayOutputStream();
        calls.forEach(call -> packet.writeBytes(bytes(call)));
        boolean open = write(caller, packet.toByteArray());
        boolean whole = open;
        for (Call call : calls) {
            long beganNs = System.nanoTime();
            ReceivedResponse answer = open ? caller.receive() : ReceivedResponse.NO_RESPONSE;
            note(call, answer, whole, beganNs);
            open &= !answer.closesConnection();
        }
        return open;
    }

    /** Sends a request in two parts; returns whether the connection is open afterwards. */
    private boolean drip(StandInCaller caller, Call call) {
        byte[] bytes = bytes(call);
        int half = bytes.length - BODY.length() / 2;
        boolean whole = write(caller, Arrays.copyOf(bytes, half));
        if (whole) {
            LockSupport.parkNanos(DRIP.toNanos());
            whole = write(caller, Arrays.copyOfRange(bytes, half, bytes.length));
        }
        long beganNs = System.nanoTime();
        ReceivedResponse answer = caller.receive();
        note(call, answer, whole, beganNs);
        return whole && !answer.closesConnection();
    }

    private static boolean write(StandInCaller caller, byte[] bytes) {
        try {
            caller.write(bytes);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void note(Call call, ReceivedResponse answer, boolean whole, long beganNs) {
        long nowNs = System.nanoTime();
        boolean late = nowNs - call.startNs() >= MOST_OF_TIME * mDeadline.toNanos();
        CallCircumstances around =
                new CallCircumstances(
                        whole,
                        call.daemon().harmedSince(call.startNs()),
                        late || mSite.disturbances().anySince(call.startNs()),
                        Duration.ofNanos(nowNs - beganNs),
                        call.daemon().callers().getAuthority(),
                        Instant.now());
        boolean calm = call.calmBefore() && mCalm.getAsBoolean();
        mCalls.add(new CallRecord(call.id(), call.kind(), answer, calm, around));
    }
}
