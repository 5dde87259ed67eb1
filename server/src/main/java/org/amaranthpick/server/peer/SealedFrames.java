package org.amaranthpick.server.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;

/**
 * Frames of one direction of an authenticated connection: type, payload, and a code over their
 * number, type and payload, so that a frame can be neither changed, repeated, left out nor added.
 */
final class SealedFrames {
    /** Type of a frame that carries a message. */
    static final byte MESSAGE = 0;

    /** Type of a frame that asks for a pong. */
    static final byte PING = 1;

    /** Type of a frame that answers a ping. */
    static final byte PONG = 2;

    /** Bytes of the code kept. */
    static final int CODE_BYTES = 16;

    /** Bytes that a frame has beside its payload, length included. */
    static final int OVERHEAD_BYTES = FrameReader.LENGTH_BYTES + 1 + CODE_BYTES;

    private final Hmac mHmac;
    private long mNumber;

    /**
     * Opened frame.
     *
     * @param type type of the frame
     * @param payload payload
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Opened(byte type, byte[] payload) {}

    SealedFrames(byte[] directionKey) {
        mHmac = new Hmac(directionKey);
    }

    /** Appends one whole frame, length first, to a buffer with room for it. */
    void seal(byte type, byte[] payload, ByteBuffer target) {
        target.putInt(1 + payload.length + CODE_BYTES);
        int start = target.position();
        target.put(type).put(payload);
        int offset = target.arrayOffset() + start;
        byte[] code = mHmac.of(mNumber++, target.array(), offset, 1 + payload.length);
        target.put(code, 0, CODE_BYTES);
    }

    /**
     * Opens the next frame.
     *
     * @throws IOException if its code is wrong
     */
    Opened open(byte[] frame) throws IOException {
        int length = frame.length - CODE_BYTES;
        if (length < 1) {
            throw new IOException("frame of " + frame.length + " bytes is too short");
        }
        byte[] code = mHmac.of(mNumber++, frame, 0, length);
        byte[] wanted = Arrays.copyOf(code, CODE_BYTES);
        byte[] found = Arrays.copyOfRange(frame, length, frame.length);
        if (!MessageDigest.isEqual(wanted, found)) {
            throw new IOException("code of a frame is wrong");
        }
        return new Opened(frame[0], Arrays.copyOfRange(frame, 1, length));
    }
}
