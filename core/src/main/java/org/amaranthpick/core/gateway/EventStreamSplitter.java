package org.amaranthpick.core.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events into complete events, and drops events whose id is not
 * above the last one. Bytes of an incomplete event are held back, so that a caller never gets part
 * of an event if the stream breaks. An upstream in trouble may send bytes without end; an event
 * that exceeds {@link #MAX_EVENT_BYTES} is not held back any further.
 */
public final class EventStreamSplitter {
    /** Size above which an incomplete event shows that the bytes are no stream of events. */
    public static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private final ByteArrayOutputStream mPartial = new ByteArrayOutputStream(256);
    private OptionalLong mLastId;
    private boolean mLineEmpty = true;

    /**
     * Creates a splitter.
     *
     * @param lastId id of the last event that the caller has received, empty if none
     */
    public EventStreamSplitter(OptionalLong lastId) {
        mLastId = lastId;
    }

    /**
     * Adds bytes of the stream.
     *
     * @param bytes bytes as received
     * @return events that these bytes complete; empty if there is none
     */
    public byte[] feed(ByteBuffer bytes) {
        ByteArrayOutputStream events = new ByteArrayOutputStream(bytes.remaining() + 64);
        while (bytes.hasRemaining() && !isOverlong()) {
            byte next = bytes.get();
            mPartial.write(next);
            if (next == '\n') {
                if (mLineEmpty) {
                    completeEvent(events);
                }
                mLineEmpty = true;
            } else if (next != '\r') {
                mLineEmpty = false;
            }
        }
        return events.toByteArray();
    }

    /**
     * Checks whether the incomplete event is too long. No more bytes are taken until it is dropped.
     *
     * @return true if it exceeds the limit
     */
    public boolean isOverlong() {
        return mPartial.size() > MAX_EVENT_BYTES;
    }

    /** Drops the bytes of an incomplete event, before another upstream resumes the stream. */
    public void dropPartial() {
        mPartial.reset();
        mLineEmpty = true;
    }

    /**
     * Checks whether bytes of an incomplete event are held back.
     *
     * @return true if the stream is in the middle of an event
     */
    public boolean hasPartial() {
        return mPartial.size() > 0;
    }

    /**
     * Returns the id of the last complete event.
     *
     * @return id, empty if there was no event with an id yet
     */
    public OptionalLong lastId() {
        return mLastId;
    }

    private void completeEvent(ByteArrayOutputStream events) {
        byte[] event = mPartial.toByteArray();
        mPartial.reset();
        OptionalLong id = parseId(event);
        if (id.isPresent() && mLastId.isPresent() && id.getAsLong() <= mLastId.getAsLong()) {
            return;
        }
        if (id.isPresent()) {
            mLastId = id;
        }
        events.writeBytes(event);
    }

    private static OptionalLong parseId(byte[] event) {
        int lineStart = 0;
        for (int i = 0; i < event.length; i++) {
            if (event[i] == '\n') {
                lineStart = i + 1;
            } else if (i == lineStart && isIdField(event, i)) {
                return parseNumber(event, i + ID_FIELD.length);
            }
        }
        return OptionalLong.empty();
    }

    private static boolean isIdField(byte[] event, int at) {
        if (event.length - at < ID_FIELD.length) {
            return false;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (event[at + i] != ID_FIELD[i]) {
                return false;
            }
        }
        return true;
    }

    private static OptionalLong parseNumber(byte[] event, int at) {
        long value = 0;
        boolean hasDigit = false;
        for (int i = at; i < event.length && event[i] != '\n' && event[i] != '\r'; i++) {
            if (event[i] >= '0' && event[i] <= '9') {
                value = value * 10 + (event[i] - '0');
                hasDigit = true;
            } else if (event[i] != ' ') {
                return OptionalLong.empty();
            }
        }
        return hasDigit ? OptionalLong.of(value) : OptionalLong.empty();
    }
}
