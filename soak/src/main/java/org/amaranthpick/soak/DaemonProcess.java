package org.amaranthpick.soak;

import com.google.common.flogger.FluentLogger;
import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.platform.PlatformMain;

/** One daemon as a process of its own, which is started again when it has ended. */
final class DaemonProcess implements AutoCloseable {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String SETTINGS_VARIABLE = "AMARANTHPICK_SETTINGS";
    private static final long EXIT_S = 12;

    private final Path mSettings;
    private final Path mLog;
    private final URI mCallers;
    private final URI mReadiness;
    private final Object mRestart = new Object();
    private final DaemonHarms mHarms = new DaemonHarms();
    private final List<DaemonLog.Incarnation> mIncarnations = new ArrayList<>();
    private Process mProcess;
    private int mIncarnation;
    private int mOwnEnds;

    DaemonProcess(Path settings, Path log, URI callers, URI readiness) {
        mSettings = settings;
        mLog = log;
        mCallers = callers;
        mReadiness = readiness;
    }

    URI callers() {
        return mCallers;
    }

    URI readiness() {
        return mReadiness;
    }

    /** Grows with each start. */
    synchronized int incarnation() {
        return mIncarnation;
    }

    synchronized boolean alive() {
        return mProcess != null && mProcess.isAlive();
    }

    synchronized void start() throws IOException {
        mIncarnation++;
        ProcessBuilder builder =
                new ProcessBuilder(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx96m",
                                "-Xss256k",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                PlatformMain.class.getName()));
        builder.environment().put(SETTINGS_VARIABLE, mSettings.toString());
        File log = Files.createDirectories(mLog.getParent()).resolve(mLog).toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        mIncarnations.add(new DaemonLog.Incarnation(log.length(), DaemonLog.End.NONE));
        mProcess = builder.start();
    }

    /** Returns whether it was killed, stood still or came to the end of its grace since a time. */
    boolean harmedSince(long ns) {
        return mHarms.anySince(ns);
    }

    /** Returns how often it ended though nobody told it to. */
    synchronized int ownEnds() {
        return mOwnEnds + (alive() ? 0 : 1);
    }

    /** Reads what its incarnations logged. */
    synchronized DaemonLog log() throws IOException {
        return DaemonLog.read(mLog, mIncarnations);
    }

    /** Lets this process stand still, or go on. */
    synchronized void freeze(boolean still) throws IOException, InterruptedException {
        if (alive()) {
            mHarms.onFreeze(still);
            String signal = still ? "-STOP" : "-CONT";
            new ProcessBuilder("kill", signal, Long.toString(mProcess.pid()))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .waitFor();
        }
    }

    /**
     * Ends the process and starts another in its place; two faults don't do so at a time.
     *
     * @param gently whether it is told to stop, or killed
     */
    void restart(boolean gently) throws IOException, InterruptedException {
        synchronized (mRestart) {
            Process process = end(gently);
            if (!process.waitFor(EXIT_S, TimeUnit.SECONDS)) {
                throw new IllegalStateException(mCallers + " did not end within " + EXIT_S + " s");
            }
            mHarms.onEnded();
            sLogger.atInfo().log("daemon %s: ended, starts again", mCallers);
            start();
        }
    }

    /** A frozen process takes no signal to stop, so it goes on. */
    private synchronized Process end(boolean gently) throws IOException, InterruptedException {
        int last = mIncarnations.size() - 1;
        if (alive()) {
            DaemonLog.End end = gently ? DaemonLog.End.STOPPED : DaemonLog.End.KILLED;
            mIncarnations.set(last, new DaemonLog.Incarnation(mIncarnations.get(last).from(), end));
        } else {
            mOwnEnds++;
        }
        sLogger.atInfo().log("daemon %s: end gently=%s", mCallers, gently);
        mHarms.onEnding(gently);
        if (gently) {
            mProcess.destroy();
        } else {
            mProcess.destroyForcibly();
        }
        freeze(false);
        return mProcess;
    }

    @Override
    public synchronized void close() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
            try {
                mProcess.waitFor();
            } catch (InterruptedException e) {
                sLogger.atWarning().log("daemon %s may still run", mProcess.pid());
                Thread.currentThread().interrupt();
            }
        }
    }
}
