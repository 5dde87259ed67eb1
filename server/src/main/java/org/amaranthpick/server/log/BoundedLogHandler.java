package org.amaranthpick.server.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes each record as one line. Lines wait in a bounded queue for a thread that writes them
 * together, so that a reader which stops reading costs lines, never requests.
 */
public final class BoundedLogHandler extends Handler {
    /** Lines that wait to be written; about a second of the busiest host. */
    private static final int MOST_WAITING = 2048;

    /** Notices in a second; five for each request of a small host at its worst load. */
    private static final int MOST_NOTICES = 300;

    private static final int MOST_FAILURES = 300;

    /** Time for which lines gather, so that the writer wakes rarely. */
    private static final Duration GATHERING = Duration.ofMillis(50);

    private final OutputStream mOut;
    private final LongSupplier mNanoTime;
    private final LineBudget mBudget = new LineBudget(MOST_NOTICES, MOST_FAILURES);
    private final BlockingQueue<String> mWaiting = new ArrayBlockingQueue<>(MOST_WAITING);

    /**
     * Creates a handler; {@link #startWriter()} starts its thread.
     *
     * @param out takes the lines
     * @param nanoTime monotonic time in nanoseconds
     */
    public BoundedLogHandler(OutputStream out, LongSupplier nanoTime) {
        mOut = out;
        mNanoTime = nanoTime;
    }

    /** Starts the thread that writes. */
    public void startWriter() {
        Thread writer = new Thread(this::writeForGood, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord record) {
        String line = format(record);
        synchronized (mBudget) {
            int leftOut = mBudget.takeLeftOut(mNanoTime.getAsLong());
            if (leftOut > 0) {
                offer("W log: left_out=" + leftOut + " lines over the budget of a second");
            }
            if (mBudget.take(record.getLevel())) {
                offer(line);
            }
        }
    }

    /** Writes what waits. */
    @Override
    public void flush() {
        List<String> lines = new ArrayList<>();
        mWaiting.drainTo(lines);
        write(lines);
    }

    @Override
    public void close() {
        flush();
    }

    private void offer(String line) {
        if (!mWaiting.offer(line)) {
            mBudget.leaveOut();
        }
    }

    private void writeForGood() {
        try {
            while (true) {
                List<String> lines = new ArrayList<>();
                lines.add(mWaiting.take());
                LockSupport.parkNanos(GATHERING.toNanos());
                mWaiting.drainTo(lines);
                write(lines);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(List<String> lines) {
        if (lines.isEmpty()) {
            return;
        }
        StringBuilder text = new StringBuilder(lines.size() * 160);
        lines.forEach(line -> text.append(line).append('\n'));
        try {
            mOut.write(text.toString().getBytes(StandardCharsets.UTF_8));
            mOut.flush();
        } catch (IOException e) {
            // The log itself cannot be written, so that there is nowhere to tell it but the
            // manager.
            reportError("log output failed", e, java.util.logging.ErrorManager.WRITE_FAILURE);
        }
    }

    private static String format(LogRecord record) {
        StringBuilder line = new StringBuilder(160);
        line.append(letter(record.getLevel())).append(' ').append(record.getMessage());
        Throwable thrown = record.getThrown();
        while (thrown != null) {
            line.append(" cause=\"").append(thrown).append('"');
            if (thrown.getStackTrace().length > 0) {
                line.append(" at ").append(thrown.getStackTrace()[0]);
            }
            thrown = thrown.getCause();
        }
        return line.toString();
    }

    private static char letter(Level level) {
        return level.getName().charAt(0);
    }
}
