package org.amaranthpick.server.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.amaranthpick.core.time.Scheduler;
import org.xnio.XnioWorker;

/**
 * Makes outgoing HTTP/1.1 calls. Each receiver has one pool of connections that lives on one I/O
 * thread, so that pools and calls need no locks. Thread-safe; never blocks.
 */
public final class HttpConnector implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_POOLED_BUFFERS = 1024;
    private static final int BUFFERS_PER_THREAD = 12;

    /** Pools from which on those without connections are forgotten: addresses come and go. */
    private static final int MAX_UNUSED_POOLS = 1024;

    private final XnioWorker mWorker;
    private final Scheduler mScheduler;
    private final ConnectorSettings mSettings;
    private final ByteBufferPool mBuffers =
            new DefaultByteBufferPool(
                    true, BUFFER_BYTES, MAX_POOLED_BUFFERS, BUFFERS_PER_THREAD, 0);
    private final ConcurrentMap<String, HostPool> mPools = new ConcurrentHashMap<>();
    private final ConnectorCounters mCounters = new ConnectorCounters();

    /**
     * Creates a connector without connections.
     *
     * @param worker gives the I/O threads; stays the caller's to shut down
     * @param scheduler clock and timers
     * @param settings bounds of the pools
     */
    public HttpConnector(XnioWorker worker, Scheduler scheduler, ConnectorSettings settings) {
        mWorker = worker;
        mScheduler = scheduler;
        mSettings = settings;
    }

    /**
     * Prepares a call; {@link OutgoingCall#start()} sends it.
     *
     * @param request the request
     * @param listener told of the call once it is started
     * @return handle of the call
     */
    public OutgoingCall prepare(OutgoingRequest request, ResponseListener listener) {
        return new OutgoingCall(pool(request.address()), mScheduler, request, listener);
    }

    /**
     * Prepares a call on a connection that is open already.
     *
     * @param connection the connection, to the address of the request; belongs to the call
     * @param request the request
     * @param listener told of the call once it is started
     * @return handle of the call
     */
    public OutgoingCall prepare(
            OpenedConnection connection, OutgoingRequest request, ResponseListener listener) {
        return new OutgoingCall(connection, mScheduler, request, listener);
    }

    /**
     * Opens a connection and sends nothing over it.
     *
     * @param address scheme, IP number and port of the receiver
     * @param timeout longest time until it is open
     * @param listener told of the connection, perhaps before this method returns
     */
    public void open(URI address, Duration timeout, OpenedConnection.Listener listener) {
        HostPool pool = pool(address);
        ConnectionOpener opener = new ConnectionOpener(pool, listener);
        if (!pool.execute(() -> opener.open(mScheduler, timeout))) {
            listener.onFailed("the client is closed");
        }
    }

    /**
     * Starts a call.
     *
     * @param request the request
     * @param listener told of the call, perhaps before this method returns
     */
    public void send(OutgoingRequest request, ResponseListener listener) {
        prepare(request, listener).start();
    }

    /**
     * Returns the counters of all pools.
     *
     * @return live counters
     */
    public ConnectorCounters counters() {
        return mCounters;
    }

    @Override
    public void close() {
        mPools.values().forEach(HostPool::close);
    }

    /**
     * Returns the pool of an address. A call that has just got an unused pool which is forgotten
     * here keeps it until it ends.
     */
    private HostPool pool(URI address) {
        String key = poolKey(address);
        if (mPools.size() >= MAX_UNUSED_POOLS && !mPools.containsKey(key)) {
            mPools.values().removeIf(HostPool::isUnused);
        }
        return mPools.computeIfAbsent(
                key,
                unknown ->
                        new HostPool(
                                address,
                                mWorker.getIoThread(),
                                mBuffers,
                                mScheduler,
                                mSettings,
                                mCounters));
    }

    /** Returns the number of pools. */
    int poolCount() {
        return mPools.size();
    }

    private static String poolKey(URI address) {
        return address.getScheme() + "://" + address.getAuthority();
    }
}
