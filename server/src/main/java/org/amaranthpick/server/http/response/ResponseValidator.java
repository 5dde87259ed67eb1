package org.amaranthpick.server.http.response;

import java.nio.ByteBuffer;

/**
 * Checks the responses on one connection against RFC 9112, one after another. What it accepts has
 * one meaning only; what the RFC lets a recipient accept in several ways is refused, but for a line
 * feed alone at the end of a line of a head or of trailers. Bodies of a known size are not looked
 * at.
 */
public final class ResponseValidator {
    private final LineBuffer mLine = new LineBuffer();
    private State mState = State.IDLE;
    private ResponseHead mHead;
    private long mLeftBytes;
    private boolean mToHead;
    private boolean mSurplus;

    private enum State {
        IDLE,
        STATUS_LINE,
        FIELDS,
        BODY,
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS
    }

    /**
     * Expects the response to another request.
     *
     * @param toHead whether the request has the method HEAD
     */
    public void onCall(boolean toHead) {
        mState = State.STATUS_LINE;
        mToHead = toHead;
    }

    /**
     * Returns whether bytes came that belong to no response: the connection can't carry another
     * call.
     *
     * @return true if there were any
     */
    public boolean hasSurplus() {
        return mSurplus;
    }

    /**
     * Checks the next bytes. After a malformed response, no further bytes can be checked.
     *
     * @param bytes bytes, read to their end
     * @throws MalformedResponseException if they can't be part of a response
     */
    public void check(ByteBuffer bytes) throws MalformedResponseException {
        while (bytes.hasRemaining()) {
            switch (mState) {
                case IDLE -> {
                    mSurplus = true;
                    skip(bytes, bytes.remaining());
                }
                case BODY_UNTIL_CLOSE -> skip(bytes, bytes.remaining());
                case BODY, CHUNK -> checkSized(bytes);
                default -> checkLine(bytes);
            }
        }
    }

    private void checkSized(ByteBuffer bytes) {
        long count = Math.min(mLeftBytes, bytes.remaining());
        skip(bytes, (int) count);
        mLeftBytes -= count;
        if (mLeftBytes == 0) {
            mState = mState == State.CHUNK ? State.CHUNK_END : State.IDLE;
        }
    }

    private static void skip(ByteBuffer bytes, int count) {
        bytes.position(bytes.position() + count);
    }

    private void checkLine(ByteBuffer bytes) throws MalformedResponseException {
        boolean chunk = mState == State.CHUNK_SIZE || mState == State.CHUNK_END;
        if (!mLine.read(
                bytes,
                chunk ? LineBuffer.LineEnd.CR_LF : LineBuffer.LineEnd.LF,
                chunk ? ResponseFault.CHUNK : headFault())) {
            return;
        }
        String line = mLine.take();
        switch (mState) {
            case STATUS_LINE -> onStatusLine(StatusLine.parse(line));
            case FIELDS -> onField(line);
            case CHUNK_SIZE -> onChunkSize(ChunkLine.parseSize(line));
            case CHUNK_END -> onChunkEnd(line);
            default -> onTrailer(line);
        }
    }

    private ResponseFault headFault() {
        return mState == State.STATUS_LINE ? ResponseFault.STATUS_LINE : ResponseFault.FIELD;
    }

    private void onStatusLine(StatusLine statusLine) throws MalformedResponseException {
        if (statusLine.isSwitch()) {
            throw new MalformedResponseException(
                    ResponseFault.STATUS_LINE, "another protocol, which was not asked for");
        }
        mHead = new ResponseHead(statusLine);
        mState = State.FIELDS;
    }

    private void onField(String line) throws MalformedResponseException {
        if (!line.isEmpty()) {
            mHead.add(FieldLine.parse(line));
            return;
        }
        BodyFraming framing = mHead.framing(mToHead);
        if (mHead.statusLine().isInterim()) {
            mState = State.STATUS_LINE;
        } else if (framing instanceof BodyFraming.Sized sized) {
            mLeftBytes = sized.bytes();
            mState = mLeftBytes == 0 ? State.IDLE : State.BODY;
        } else {
            mState =
                    framing instanceof BodyFraming.Chunked
                            ? State.CHUNK_SIZE
                            : State.BODY_UNTIL_CLOSE;
        }
    }

    private void onChunkSize(long bytes) {
        mLeftBytes = bytes;
        mState = bytes == 0 ? State.TRAILERS : State.CHUNK;
    }

    private void onChunkEnd(String line) throws MalformedResponseException {
        if (!line.isEmpty()) {
            throw new MalformedResponseException(
                    ResponseFault.CHUNK, QuotedText.of(line) + " behind the end of a chunk");
        }
        mState = State.CHUNK_SIZE;
    }

    private void onTrailer(String line) throws MalformedResponseException {
        if (line.isEmpty()) {
            mState = State.IDLE;
        } else {
            FieldLine.parse(line);
        }
    }
}
