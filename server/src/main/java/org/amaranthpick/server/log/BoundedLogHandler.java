package org.amaranthpick.server.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Log handler that writes each record as one line. Lines are queued in a bounded queue and written
 * in batches by a separate thread. If the output blocks because its reader has stopped reading,
 * lines are dropped and the threads that log are not blocked.
 */
public final class BoundedLogHandler extends Handler {
    /** Queue capacity in lines; about one second of output of the busiest host. */
    private static final int QUEUE_CAPACITY = 2048;

    /** Lines below warning level per second; five per request of a small host at peak load. */
    private static final int MAX_INFO_LINES_PER_SECOND = 300;

    private static final int MAX_WARNING_LINES_PER_SECOND = 300;

    /** Time for which lines are collected into a batch, so that the writer thread wakes rarely. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(50);

    private final OutputStream mOut;
    private final LongSupplier mNanoTime;
    private final LogRateLimiter mRateLimiter =
            new LogRateLimiter(MAX_INFO_LINES_PER_SECOND, MAX_WARNING_LINES_PER_SECOND);
    private final BlockingQueue<String> mQueue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

    /** Has permits if lines were queued since the writer thread last wrote. */
    private final Semaphore mQueued = new Semaphore(0);

    /**
     * Creates a handler; {@link #startWriter()} starts its thread.
     *
     * @param out output stream for the lines
     * @param nanoTime monotonic time in nanoseconds
     */
    public BoundedLogHandler(OutputStream out, LongSupplier nanoTime) {
        mOut = out;
        mNanoTime = nanoTime;
    }

    /** Starts the writer thread. */
    public void startWriter() {
        Thread writer = new Thread(this::runWriter, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord record) {
        String line = format(record);
        synchronized (mRateLimiter) {
            int droppedCount = mRateLimiter.takeDroppedCount(mNanoTime.getAsLong());
            if (droppedCount > 0) {
                enqueue(
                        "W log: left_out="
                                + droppedCount
                                + " lines dropped by the rate limit or a full queue");
            }
            if (mRateLimiter.tryAcquire(record.getLevel())) {
                enqueue(line);
            }
        }
    }

    /** Writes all queued lines; returns when those that the writer thread has are written too. */
    @Override
    public void flush() {
        synchronized (mOut) {
            List<String> lines = new ArrayList<>();
            mQueue.drainTo(lines);
            write(lines);
        }
    }

    @Override
    public void close() {
        flush();
    }

    private void enqueue(String line) {
        if (mQueue.offer(line)) {
            mQueued.release();
        } else {
            mRateLimiter.recordDropped();
        }
    }

    private void runWriter() {
        try {
            while (true) {
                mQueued.acquire();
                LockSupport.parkNanos(BATCH_DELAY.toNanos());
                mQueued.drainPermits();
                flush();
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
            // The log output itself failed, so the error goes to the handler's error manager.
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
