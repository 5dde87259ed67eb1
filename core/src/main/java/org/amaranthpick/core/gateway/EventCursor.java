package org.amaranthpick.core.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Cuts a server-sent event stream into whole events and follows their ids. Bytes of an event whose
 * end has not come yet are kept back, so that a broken stream leaves no half event with the caller.
 */
public final class EventCursor {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private final ByteArrayOutputStream mPartial = new ByteArrayOutputStream(256);
    private OptionalLong mLastId;
    private boolean mLineEmpty = true;

    /**
     * Creates a cursor.
     *
     * @param lastId id of the last event that the caller has, empty if none
     */
    public EventCursor(OptionalLong lastId) {
        mLastId = lastId;
    }

    /**
     * Takes bytes of the stream.
     *
     * @param bytes bytes as they came
     * @return the whole events that these bytes complete; empty while none is complete
     */
    public byte[] take(ByteBuffer bytes) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream(bytes.remaining() + 64);
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            mPartial.write(next);
            if (next == '\n') {
                if (mLineEmpty) {
                    endEvent(whole);
                }
                mLineEmpty = true;
            } else if (next != '\r') {
                mLineEmpty = false;
            }
        }
        return whole.toByteArray();
    }

    /** Drops the bytes of an event that did not end, before another upstream goes on. */
    public void dropPartial() {
        mPartial.reset();
        mLineEmpty = true;
    }

    /**
     * Tells whether bytes of an unfinished event are kept back.
     *
     * @return true if the stream is in the middle of an event
     */
    public boolean hasPartial() {
        return mPartial.size() > 0;
    }

    /**
     * Returns the id of the last whole event.
     *
     * @return id, empty if no event with an id came yet
     */
    public OptionalLong lastId() {
        return mLastId;
    }

    private void endEvent(ByteArrayOutputStream whole) {
        byte[] event = mPartial.toByteArray();
        mPartial.reset();
        OptionalLong id = idOf(event);
        if (id.isPresent() && mLastId.isPresent() && id.getAsLong() <= mLastId.getAsLong()) {
            return;
        }
        if (id.isPresent()) {
            mLastId = id;
        }
        whole.writeBytes(event);
    }

    private static OptionalLong idOf(byte[] event) {
        int lineStart = 0;
        for (int i = 0; i < event.length; i++) {
            if (event[i] == '\n') {
                lineStart = i + 1;
            } else if (i == lineStart && startsWith(event, i)) {
                return number(event, i + ID_FIELD.length);
            }
        }
        return OptionalLong.empty();
    }

    private static boolean startsWith(byte[] event, int at) {
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

    private static OptionalLong number(byte[] event, int at) {
        long value = 0;
        boolean any = false;
        for (int i = at; i < event.length && event[i] != '\n' && event[i] != '\r'; i++) {
            if (event[i] >= '0' && event[i] <= '9') {
                value = value * 10 + (event[i] - '0');
                any = true;
            } else if (event[i] != ' ') {
                return OptionalLong.empty();
            }
        }
        return any ? OptionalLong.of(value) : OptionalLong.empty();
    }
}
