package org.amaranthpick.server.gateway;

import io.undertow.server.HttpServerExchange;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.gateway.BodyMemory;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.server.http.ConnectionWatch;

/**
 * Body of an answer that is read whole before it is passed on, in parts that are not copied as it
 * grows. Each part is reserved in the memory that all answers share.
 */
final class AnswerBuffer {
    private static final int MIN_PART_BYTES = 1024;
    private static final int MAX_PART_BYTES = 64 * 1024;

    private final BodyMemory.Reservation mMemory;
    private final List<ByteBuffer> mParts = new ArrayList<>();
    private int mSize;

    private AnswerBuffer(BodyMemory.Reservation memory) {
        mMemory = memory;
    }

    /** Starts a body whose memory is held until the exchange ends, when its caller has it. */
    static AnswerBuffer open(HttpServerExchange exchange, BodyMemory memory) {
        BodyMemory.Reservation reservation = memory.open();
        Cancellable watch = ConnectionWatch.start(exchange.getConnection(), reservation::release);
        exchange.addExchangeCompleteListener(
                (ended, next) -> {
                    watch.cancel();
                    reservation.release();
                    next.proceed();
                });
        return new AnswerBuffer(reservation);
    }

    int size() {
        return mSize;
    }

    /** Adds bytes; returns false if there is no memory for them. */
    boolean add(ByteBuffer bytes) {
        mSize += bytes.remaining();
        while (bytes.hasRemaining()) {
            ByteBuffer last = mParts.isEmpty() ? null : mParts.get(mParts.size() - 1);
            if (last == null || !last.hasRemaining()) {
                int partBytes = Math.max(MIN_PART_BYTES, Math.min(MAX_PART_BYTES, mSize));
                if (!mMemory.add(partBytes)) {
                    return false;
                }
                last = ByteBuffer.allocate(partBytes);
                mParts.add(last);
            }
            int count = Math.min(last.remaining(), bytes.remaining());
            last.put(bytes.slice(bytes.position(), count));
            bytes.position(bytes.position() + count);
        }
        return true;
    }

    /** Returns the whole body and forgets its parts. */
    byte[] take() {
        ByteBuffer body = ByteBuffer.allocate(mSize);
        mParts.forEach(part -> body.put(part.flip()));
        clear();
        return body.array();
    }

    /** Forgets the body. */
    void clear() {
        mParts.clear();
        mSize = 0;
    }
}
