package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Bytes of request heads that have not come whole, on all connections of a daemon. Over the limit
 * the connection with most of them is closed, whose request has not been read: callers with heads
 * of the usual size stay. Confined to the I/O thread.
 */
final class HeadMemory {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Part of the heap; the parser holds a multiple of the bytes. */
    private static final int HEAP_DIVISOR = 16;

    private final long mMaxBytes;
    private final Map<StreamConnection, Long> mBytes = new HashMap<>();
    private long mTotalBytes;

    /**
     * Creates an empty memory.
     *
     * @param maxBytes most bytes held for all connections
     */
    HeadMemory(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Creates a memory of a part of the heap. */
    static HeadMemory ofHeap(long heapBytes) {
        return new HeadMemory(heapBytes / HEAP_DIVISOR);
    }

    /** Adds bytes that were read of a head. */
    void add(StreamConnection connection, int bytes) {
        mBytes.merge(connection, (long) bytes, Long::sum);
        mTotalBytes += bytes;
        while (mTotalBytes > mMaxBytes) {
            closeLargest();
        }
    }

    /** Releases the bytes of a head that is whole, or whose connection has ended. */
    void release(StreamConnection connection) {
        Long bytes = mBytes.remove(connection);
        if (bytes != null) {
            mTotalBytes -= bytes;
        }
    }

    /** Returns the bytes that are held. */
    long heldBytes() {
        return mTotalBytes;
    }

    private void closeLargest() {
        Map.Entry<StreamConnection, Long> largest =
                mBytes.entrySet().stream()
                        .max(Comparator.comparingLong(Map.Entry::getValue))
                        .orElseThrow();
        sLogger.atWarning().log(
                "listener: closed %s after %d bytes of a head, others hold %d",
                largest.getKey().getPeerAddress(),
                largest.getValue(),
                mTotalBytes - largest.getValue());
        StreamConnection connection = largest.getKey();
        release(connection);
        IoUtils.safeClose(connection);
    }
}
