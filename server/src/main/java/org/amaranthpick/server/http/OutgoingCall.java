package org.amaranthpick.server.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.server.http.response.MalformedResponseException;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One outgoing call. Its state lives on the I/O thread of its pool; the public methods may be
 * called on any thread.
 */
public final class OutgoingCall {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;

    /** Reads after which other calls get their turn, and the time until the next turn. */
    private static final int READS_PER_TURN = 64;

    private static final Duration TURN_BREAK = Duration.ofMillis(1);

    private final HostPool mPool;
    private final Scheduler mScheduler;
    private final OutgoingRequest mRequest;
    private final ResponseListener mListener;
    private final HostPool.Taker mTaker = new ConnectionTaker();
    private final Optional<OpenedConnection> mOpened;

    private LimitedConnection mConnection;
    private StreamSourceChannel mSource;
    private ByteBuffer mBody;
    private long mWrittenBefore;
    private long mLastByteNs;
    private boolean mReused;
    private boolean mReplaced;
    private boolean mSendingTold;
    private boolean mRequestWritten;
    private boolean mPaused;
    private boolean mDone;

    /** Set before the call ends by its task: tasks that send may be queued before that one. */
    private volatile boolean mCancelled;

    private Cancellable mStepTimer = () -> {};
    private Cancellable mTotalTimer = () -> {};
    private Cancellable mTurnTimer = () -> {};

    OutgoingCall(
            HostPool pool,
            Scheduler scheduler,
            OutgoingRequest request,
            ResponseListener listener) {
        this(pool, Optional.empty(), scheduler, request, listener);
    }

    /** Creates a call on a connection that is open already. */
    OutgoingCall(
            OpenedConnection opened,
            Scheduler scheduler,
            OutgoingRequest request,
            ResponseListener listener) {
        this(opened.pool(), Optional.of(opened), scheduler, request, listener);
    }

    private OutgoingCall(
            HostPool pool,
            Optional<OpenedConnection> opened,
            Scheduler scheduler,
            OutgoingRequest request,
            ResponseListener listener) {
        mPool = pool;
        mOpened = opened;
        mScheduler = scheduler;
        mRequest = request;
        mListener = listener;
    }

    /** Sends the request. Called once. */
    public void start() {
        if (!mPool.execute(() -> run(this::begin))) {
            end(new CallEnd.NotSent("the client is closed"));
        }
    }

    /** Stops reading until {@link #resume()}. */
    public void pause() {
        if (mPool.isOnThread()) {
            // Reading goes on until the connection is empty; a task would run only then.
            mPaused = true;
        } else {
            mPool.execute(() -> mPaused = true);
        }
    }

    /** Goes on reading. */
    public void resume() {
        mPool.execute(() -> run(this::doResume));
    }

    /**
     * Ends the call and closes its connection. On the I/O thread, a request that has not told that
     * it is being sent will not be.
     */
    public void cancel() {
        mCancelled = true;
        mPool.execute(() -> run(() -> fail("cancelled")));
    }

    private void begin() {
        if (mDone || mCancelled) {
            mOpened.ifPresent(OpenedConnection::close);
            return;
        }
        mRequest.total().ifPresent(total -> mTotalTimer = after(total, this::onTotalTimeout));
        if (mOpened.isPresent()) {
            use(mOpened.get().connection(), false);
            return;
        }
        mStepTimer = after(mPool.connectTimeout(), this::onConnectTimeout);
        mPool.acquire(mTaker);
    }

    private void onConnectTimeout() {
        if (mConnection == null) {
            fail("no connection within " + mPool.connectTimeout().toMillis() + " ms");
        }
    }

    private void onTotalTimeout() {
        if (mConnection != null && mSource == null) {
            distrustPool();
        }
        fail("no whole response in time");
    }

    private void use(LimitedConnection connection, boolean reused) {
        mStepTimer.cancel();
        mConnection = connection;
        mReused = reused;
        mWrittenBefore = connection.client().getStatistics().getWritten();
        connection.guards().onCall(mRequest.method());
        tellSending();
        if (mDone) {
            return;
        }
        mLastByteNs = mScheduler.monotonicNs();
        mStepTimer = after(mRequest.silence(), this::checkSilence);
        connection.client().sendRequest(clientRequest(), callback(this::onExchange));
    }

    private void tellSending() {
        if (!mSendingTold) {
            mSendingTold = true;
            mListener.onSending();
        }
    }

    private ClientRequest clientRequest() {
        ClientRequest request = new ClientRequest();
        request.setMethod(HttpString.tryFromString(mRequest.method()));
        request.setPath(mRequest.path());
        mRequest.headers().forEach((k, v) -> request.getRequestHeaders().put(new HttpString(k), v));
        if (!request.getRequestHeaders().contains(Headers.HOST)) {
            request.getRequestHeaders().put(Headers.HOST, mRequest.address().getAuthority());
        }
        if (mRequest.body().length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, mRequest.body().length);
        }
        return request;
    }

    private void onExchange(ClientExchange exchange) {
        if (mDone) {
            return;
        }
        exchange.setResponseListener(callback(this::onResponse));
        if (mRequest.body().length == 0) {
            mRequestWritten = true;
            return;
        }
        mBody = ByteBuffer.wrap(mRequest.body());
        StreamSinkChannel sink = exchange.getRequestChannel();
        sink.getWriteSetter().set(channel -> run(() -> write(channel)));
        write(sink);
    }

    private void write(StreamSinkChannel sink) {
        if (mDone || mRequestWritten) {
            return;
        }
        try {
            while (mBody.hasRemaining()) {
                if (sink.write(mBody) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (!sink.flush()) {
                sink.resumeWrites();
                return;
            }
            sink.suspendWrites();
            mRequestWritten = true;
        } catch (IOException e) {
            onFailure(e);
        }
    }

    private void onResponse(ClientExchange exchange) {
        if (mDone) {
            return;
        }
        mLastByteNs = mScheduler.monotonicNs();
        ClientResponse response = exchange.getResponse();
        int status = response.getResponseCode();
        if (status < FIRST_FINAL_STATUS || status > LAST_STATUS) {
            fail("the response has the status " + status + ", which is no final one");
            return;
        }
        mListener.onResponse(status, response.getResponseHeaders());
        if (mDone) {
            return;
        }
        mConnection.guards().onProgress();
        if (BodilessResponses.endsUnread(response)) {
            closeConnection();
            end(new CallEnd.Complete());
            return;
        }
        mSource = exchange.getResponseChannel();
        mSource.getReadSetter().set(channel -> run(() -> read(channel)));
        read(mSource);
    }

    private void read(StreamSourceChannel source) {
        try {
            for (int reads = 0; !mDone && !mPaused; reads++) {
                if (reads == READS_PER_TURN) {
                    endTurn(source);
                    return;
                }
                ByteBuffer buffer = HostPool.readBuffer();
                int count = source.read(buffer);
                if (count < 0) {
                    complete();
                    return;
                }
                if (count == 0) {
                    source.resumeReads();
                    return;
                }
                mLastByteNs = mScheduler.monotonicNs();
                mConnection.guards().onProgress();
                mListener.onBytes(buffer.flip());
                if (!mListener.acceptsMore()) {
                    fail("the response is longer than its receiver takes");
                    return;
                }
            }
            source.suspendReads();
        } catch (IOException e) {
            onFailure(e);
        }
    }

    /** A task that is due at once would run before the other connections are looked at. */
    private void endTurn(StreamSourceChannel source) {
        source.suspendReads();
        mTurnTimer.cancel();
        mTurnTimer = after(TURN_BREAK, () -> read(source));
    }

    private void doResume() {
        mPaused = false;
        mLastByteNs = mScheduler.monotonicNs();
        if (!mDone && mSource != null) {
            read(mSource);
        }
    }

    private void complete() {
        LimitedConnection connection = mConnection;
        mConnection = null;
        if (mRequestWritten && mListener.keepsConnection()) {
            mPool.release(connection);
        } else {
            connection.closeNow();
        }
        end(new CallEnd.Complete());
    }

    private void checkSilence() {
        long silentNs = mPaused ? 0 : mScheduler.monotonicNs() - mLastByteNs;
        long leftNs = mRequest.silence().toNanos() - silentNs;
        if (leftNs > 0) {
            mStepTimer = after(Duration.ofNanos(leftNs), this::checkSilence);
            return;
        }
        distrustPool();
        fail("no byte for " + mRequest.silence().toMillis() + " ms");
    }

    /** Idle connections may be as silent as this one; none of them carries another call. */
    private void distrustPool() {
        mPool.counters().countSilent();
        mPool.dropIdle();
    }

    private void onFailure(IOException e) {
        if (mDone) {
            return;
        }
        if (mReused && !mReplaced && nothingWritten()) {
            replaceConnection();
        } else {
            Optional<MalformedResponseException> malformed = malformed();
            malformed.ifPresent(cause -> mPool.counters().countMalformed(cause.fault()));
            fail(Failures.text(malformed.isPresent() ? malformed.get() : e));
        }
    }

    /** Returns why the response can't be read; what the library tells of may follow from it. */
    private Optional<MalformedResponseException> malformed() {
        return Optional.ofNullable(mConnection)
                .flatMap(connection -> connection.guards().malformed());
    }

    private void replaceConnection() {
        mReplaced = true;
        mPool.counters().countReplaced();
        closeConnection();
        mStepTimer.cancel();
        mStepTimer = after(mPool.connectTimeout(), this::onConnectTimeout);
        mPool.acquireFresh(mTaker);
    }

    private boolean nothingWritten() {
        return mConnection == null
                || mConnection.client().getStatistics().getWritten() == mWrittenBefore;
    }

    private void fail(String reason) {
        if (mDone) {
            return;
        }
        boolean unsent = mSource == null && nothingWritten();
        mPool.forget(mTaker);
        closeConnection();
        end(unsent ? new CallEnd.NotSent(reason) : new CallEnd.Lost(reason));
    }

    /** Lets go of the connection first: what its close tells is no news. */
    private void closeConnection() {
        LimitedConnection connection = mConnection;
        mConnection = null;
        if (connection != null) {
            connection.closeNow();
        }
    }

    private void end(CallEnd end) {
        if (mDone) {
            return;
        }
        mDone = true;
        mStepTimer.cancel();
        mTotalTimer.cancel();
        mTurnTimer.cancel();
        mListener.onEnd(end);
    }

    private Cancellable after(Duration delay, Runnable task) {
        return mScheduler.schedule(delay, () -> mPool.execute(() -> runIfOpen(task)));
    }

    private void runIfOpen(Runnable task) {
        if (!mDone) {
            run(task);
        }
    }

    /** Runs a step of the call, which ends if it fails: the I/O thread would forget the call. */
    private void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            try {
                fail("failed, " + e);
            } finally {
                mScheduler.onTaskFailed("call", e);
            }
        }
    }

    private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> then) {
        LimitedConnection connection = mConnection;
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                if (connection.equals(mConnection)) {
                    run(() -> then.accept(exchange));
                }
            }

            @Override
            public void failed(IOException e) {
                if (connection.equals(mConnection)) {
                    run(() -> onFailure(e));
                }
            }
        };
    }

    private final class ConnectionTaker implements HostPool.Taker {
        @Override
        public void onConnection(LimitedConnection connection, boolean reused) {
            if (mDone || mCancelled) {
                mPool.release(connection);
            } else {
                run(() -> use(connection, reused));
            }
        }

        @Override
        public void onNoConnection(String reason) {
            run(() -> fail(reason));
        }
    }
}
