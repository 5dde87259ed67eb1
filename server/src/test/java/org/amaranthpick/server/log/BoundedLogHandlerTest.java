package org.amaranthpick.server.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class BoundedLogHandlerTest {
    private static final long SECOND_NS = 1_000_000_000L;

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private long mNowNs = SECOND_NS;
    private final BoundedLogHandler mHandler = new BoundedLogHandler(mOut, () -> mNowNs);

    private String[] lines() {
        mHandler.flush();
        return mOut.toString(StandardCharsets.UTF_8).split("\n", -1);
    }

    @Test
    void writesOneLinePerRecord() {
        LogRecord record = new LogRecord(Level.WARNING, "store: lost");
        record.setThrown(new IllegalStateException("down"));
        mHandler.publish(record);
        assertTrue(lines()[0].startsWith("W store: lost cause=\"java.lang.IllegalStateException"));
    }

    @Test
    void dropsAndCountsInfoLinesOverTheLimit() {
        for (int i = 0; i < 1000; i++) {
            mHandler.publish(new LogRecord(Level.INFO, "request: " + i));
        }
        mHandler.publish(new LogRecord(Level.WARNING, "store: lost"));
        mNowNs += SECOND_NS;
        mHandler.publish(new LogRecord(Level.INFO, "next"));
        String[] lines = lines();
        assertEquals("W store: lost", lines[300]);
        assertEquals(
                "W log: left_out=700 lines dropped by the rate limit or a full queue", lines[301]);
        assertEquals("I next", lines[302]);
    }

    /** The last lines of a process are written by a flush, right before it exits. */
    @Test
    void aFlushWritesTheLinesThatTheWriterThreadIsCollecting() {
        mHandler.startWriter();
        StringBuilder published = new StringBuilder();
        for (int i = 0; i < 200 && (published.isEmpty() || !isCollecting()); i++) {
            mHandler.publish(new LogRecord(Level.INFO, "line " + i));
            published.append("I line ").append(i).append('\n');
            LockSupport.parkNanos(Duration.ofMillis(1).toNanos());
        }
        mHandler.flush();
        assertEquals(published.toString(), mOut.toString(StandardCharsets.UTF_8));
    }

    private static boolean isCollecting() {
        return Thread.getAllStackTraces().keySet().stream()
                .anyMatch(
                        thread ->
                                thread.getName().equals("log-writer")
                                        && thread.getState() == Thread.State.TIMED_WAITING);
    }

    @Test
    void dropsLinesWhenTheQueueIsFull() {
        for (int second = 0; second < 20; second++) {
            mNowNs += SECOND_NS;
            for (int i = 0; i < 300; i++) {
                mHandler.publish(new LogRecord(Level.INFO, "request: " + i));
            }
        }
        assertTrue(lines().length <= 2049);
    }
}
