package org.amaranthpick.server.http;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.amaranthpick.server.http.response.ResponseFault;

/** Counters of outgoing connections, for metrics. */
public final class ConnectorCounters {
    private final LongAdder mOpened = new LongAdder();
    private final LongAdder mReused = new LongAdder();
    private final LongAdder mReleased = new LongAdder();
    private final LongAdder mReplaced = new LongAdder();
    private final LongAdder mSilent = new LongAdder();
    private final LongAdder mFailed = new LongAdder();
    private final Map<ResponseFault, LongAdder> mMalformed = new EnumMap<>(ResponseFault.class);

    /** Creates counters at zero. */
    ConnectorCounters() {
        for (ResponseFault fault : ResponseFault.values()) {
            mMalformed.put(fault, new LongAdder());
        }
    }

    /** Counts a connection opened. */
    void countOpened() {
        mOpened.increment();
    }

    /** Counts a call on a pooled connection. */
    void countReused() {
        mReused.increment();
    }

    /** Counts a connection given back after a call. */
    void countReleased() {
        mReleased.increment();
    }

    /** Counts a pooled connection that was replaced before any byte was sent. */
    void countReplaced() {
        mReplaced.increment();
    }

    /** Counts a connection closed because it was silent. */
    void countSilent() {
        mSilent.increment();
    }

    /** Counts a connection that could not be opened. */
    void countFailed() {
        mFailed.increment();
    }

    /** Counts a response that is malformed. */
    void countMalformed(ResponseFault fault) {
        mMalformed.get(fault).increment();
    }

    /**
     * Returns the connections opened.
     *
     * @return count since the start
     */
    public long opened() {
        return mOpened.sum();
    }

    /**
     * Returns the calls made on a pooled connection.
     *
     * @return count since the start
     */
    public long reused() {
        return mReused.sum();
    }

    /**
     * Returns the connections given back after a call.
     *
     * @return count since the start
     */
    public long released() {
        return mReleased.sum();
    }

    /**
     * Returns the pooled connections replaced by a fresh one before any byte was sent.
     *
     * @return count since the start
     */
    public long replaced() {
        return mReplaced.sum();
    }

    /**
     * Returns the connections closed because no byte came in time.
     *
     * @return count since the start
     */
    public long silent() {
        return mSilent.sum();
    }

    /**
     * Returns the connections that could not be opened.
     *
     * @return count since the start
     */
    public long failed() {
        return mFailed.sum();
    }

    /**
     * Returns the responses that were malformed.
     *
     * @param fault what was malformed
     * @return count since the start
     */
    public long malformed(ResponseFault fault) {
        return mMalformed.get(fault).sum();
    }
}
