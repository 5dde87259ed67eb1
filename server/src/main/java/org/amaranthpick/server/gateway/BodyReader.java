package org.amaranthpick.server.gateway;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.Executor;
import org.amaranthpick.core.gateway.BodyMemory;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.server.http.ConnectionWatch;

/**
 * Reads the whole body of a request within a limit, if the daemon has memory for it. At the limit
 * of the library a connection is closed without an answer, so that limit only bounds what is
 * discarded of a body that was refused.
 */
final class BodyReader {
    private static final int FIRST_CHUNKED_BYTES = 16 * 1024;
    private static final int MIN_DISCARDED_BYTES = 1024 * 1024;

    private final HttpServerExchange mExchange;
    private final int mMaxBytes;
    private final BodyMemory.Reservation mMemory;
    private final Executor mSteps;
    private final Listener mListener;
    private Receiver mReceiver;
    private byte[] mBuffer = new byte[0];
    private int mCount;
    private boolean mDone;

    /** Receives the body or learns that there will be none; exactly one method is called. */
    interface Listener {
        /** Handles the whole body. */
        void onBody(byte[] body);

        /** Handles a body over the limit; the rest of it is not read. */
        void onTooLarge();

        /** Handles a body for which there is no memory now; the rest of it is not read. */
        void onNoMemory();

        /** Handles a body that did not come whole. */
        void onLost(IOException e);
    }

    private BodyReader(
            HttpServerExchange exchange,
            int maxBytes,
            BodyMemory.Reservation memory,
            Executor steps,
            Listener listener) {
        mExchange = exchange;
        mMaxBytes = maxBytes;
        mMemory = memory;
        mSteps = steps;
        mListener = listener;
    }

    /**
     * Reads the body of an exchange. Its memory is held until the exchange ends.
     *
     * @param steps runs what happens as steps of the exchange
     */
    static void read(
            HttpServerExchange exchange,
            long maxBytes,
            BodyMemory memory,
            Executor steps,
            Listener listener) {
        // One array holds a body.
        int maxArrayBytes = (int) Math.min(maxBytes, Integer.MAX_VALUE - 8L);
        new BodyReader(exchange, maxArrayBytes, memory.open(), steps, listener).start();
    }

    private void start() {
        long length = mExchange.getRequestContentLength();
        if (length > mMaxBytes) {
            mListener.onTooLarge();
            return;
        }
        if (mExchange.isRequestComplete()) {
            mListener.onBody(mBuffer);
            return;
        }
        if (!mMemory.add(Math.max(0, length))) {
            mListener.onNoMemory();
            return;
        }
        releaseAtEnd();
        mExchange.setMaxEntitySize(2L * mMaxBytes + MIN_DISCARDED_BYTES);
        mReceiver = mExchange.getRequestReceiver();
        mReceiver.receivePartialBytes(
                (read, bytes, last) -> mSteps.execute(() -> onBytes(bytes, last)),
                (failed, e) -> mSteps.execute(() -> onFailed(e)));
    }

    private void onBytes(byte[] bytes, boolean last) {
        if (mDone) {
            return;
        }
        if (bytes.length > mMaxBytes - mCount) {
            stop();
            mListener.onTooLarge();
            return;
        }
        if (bytes.length > mBuffer.length - mCount && !grow(mCount + bytes.length)) {
            stop();
            mListener.onNoMemory();
            return;
        }
        System.arraycopy(bytes, 0, mBuffer, mCount, bytes.length);
        mCount += bytes.length;
        if (last) {
            mDone = true;
            byte[] body = mCount == mBuffer.length ? mBuffer : Arrays.copyOf(mBuffer, mCount);
            mBuffer = new byte[0];
            mListener.onBody(body);
        }
    }

    /** Makes room for a body, of which an announced length is reserved already. */
    private boolean grow(int neededBytes) {
        long length = mExchange.getRequestContentLength();
        if (length >= 0) {
            mBuffer = new byte[(int) length];
            return true;
        }
        long doubledBytes = Math.max(FIRST_CHUNKED_BYTES, 2L * mBuffer.length);
        int newBytes = (int) Math.max(neededBytes, Math.min(doubledBytes, mMaxBytes));
        if (!mMemory.add(newBytes - mBuffer.length)) {
            return false;
        }
        mBuffer = Arrays.copyOf(mBuffer, newBytes);
        return true;
    }

    /** An exchange whose connection closes need not come to its own end. */
    private void releaseAtEnd() {
        Cancellable watch = ConnectionWatch.start(mExchange.getConnection(), mMemory::release);
        mExchange.addExchangeCompleteListener(
                (ended, next) -> {
                    watch.cancel();
                    mMemory.release();
                    next.proceed();
                });
    }

    private void onFailed(IOException e) {
        if (!mDone) {
            stop();
            mListener.onLost(e);
        }
    }

    private void stop() {
        mDone = true;
        mBuffer = new byte[0];
        mExchange.setPersistent(false);
        mReceiver.pause();
    }
}
