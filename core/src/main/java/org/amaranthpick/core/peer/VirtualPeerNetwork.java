package org.amaranthpick.core.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;

/**
 * Simulated network between daemons of one process on virtual time, for tests and benchmarks.
 * Messages are encoded and decoded, can be delayed, lost or held back, and are counted. Not
 * thread-safe.
 */
public final class VirtualPeerNetwork {
    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final PeerCodec mCodec;
    private final Map<Identity, Endpoint> mEndpoints = new HashMap<>();
    private final Set<Identity> mDown = new HashSet<>();
    private final Map<Identity, List<Runnable>> mDeferredDeliveries = new HashMap<>();
    private BiPredicate<Identity, Identity> mIsCut = (from, to) -> false;
    private Duration mMinDelay = Duration.ofMillis(1);
    private Duration mMaxDelay = Duration.ofMillis(5);
    private double mLossRate;

    /**
     * Creates the network.
     *
     * @param scheduler scheduler on virtual time
     * @param random random source of delays and losses
     * @param codec codec of all messages
     */
    public VirtualPeerNetwork(Scheduler scheduler, RandomGenerator random, PeerCodec codec) {
        mScheduler = scheduler;
        mRandom = random;
        mCodec = codec;
    }

    /**
     * Sets the range of message delays.
     *
     * @param min shortest delay
     * @param max longest delay, above {@code min}
     */
    public void setDelay(Duration min, Duration max) {
        mMinDelay = min;
        mMaxDelay = max;
    }

    /**
     * Sets the fraction of messages that are lost.
     *
     * @param rate 0 to 1
     */
    public void setLossRate(double rate) {
        mLossRate = rate;
    }

    /**
     * Partitions the network.
     *
     * @param cut returns true for each pair of sender and receiver whose messages are lost
     */
    public void setCut(BiPredicate<Identity, Identity> cut) {
        mIsCut = cut;
    }

    /**
     * Disconnects one daemon from the network, or connects it again.
     *
     * @param host daemon
     * @param down true to disconnect it
     */
    public void setDown(Identity host, boolean down) {
        if (down) {
            mDown.add(host);
        } else {
            mDown.remove(host);
        }
    }

    /**
     * Holds back the messages to one daemon, or delivers those that were held back.
     *
     * @param host daemon
     * @param paused true to hold messages back
     */
    public void setPaused(Identity host, boolean paused) {
        if (paused) {
            mDeferredDeliveries.putIfAbsent(host, new ArrayList<>());
            return;
        }
        List<Runnable> deferred = mDeferredDeliveries.remove(host);
        if (deferred != null) {
            deferred.forEach(Runnable::run);
        }
    }

    /**
     * Attaches a daemon. An earlier endpoint of the same host is detached.
     *
     * @param host daemon
     * @return endpoint of the daemon
     */
    public Endpoint attach(Identity host) {
        Endpoint endpoint = new Endpoint(host);
        mEndpoints.put(host, endpoint);
        return endpoint;
    }

    private void transmit(Endpoint from, Identity to, PeerMessage message) {
        byte[] bytes = mCodec.encode(message);
        from.mSentMessages++;
        from.mSentBytes += bytes.length;
        boolean lost = mLossRate > 0 && mRandom.nextDouble() < mLossRate;
        if (lost || mIsCut.test(from.mHost, to) || mDown.contains(from.mHost)) {
            return;
        }
        long spanNs = mMaxDelay.minus(mMinDelay).toNanos();
        Duration delay = mMinDelay.plusNanos(mRandom.nextLong(Math.max(1, spanNs)));
        mScheduler.schedule(delay, () -> deliver(from.mHost, to, bytes));
    }

    private void deliver(Identity from, Identity to, byte[] bytes) {
        Endpoint receiver = mEndpoints.get(to);
        if (receiver == null || mDown.contains(to) || mIsCut.test(from, to)) {
            return;
        }
        List<Runnable> deferred = mDeferredDeliveries.get(to);
        if (deferred != null) {
            deferred.add(() -> deliver(from, to, bytes));
            return;
        }
        receiver.mReceivedMessages++;
        receiver.mReceivedBytes += bytes.length;
        if (mCodec.decode(bytes) instanceof DecodedMessage.Message decoded) {
            PeerHandler handler = receiver.mHandlers.get(decoded.message().tag());
            if (handler != null) {
                handler.onMessage(from, decoded.message());
            }
        }
    }

    /** Endpoint of one daemon, with counters of its encoded messages. */
    public final class Endpoint implements PeerNetwork {
        private final Identity mHost;
        private final Map<Integer, PeerHandler> mHandlers = new HashMap<>();
        private long mSentMessages;
        private long mSentBytes;
        private long mReceivedMessages;
        private long mReceivedBytes;

        Endpoint(Identity host) {
            mHost = host;
        }

        @Override
        public void send(Identity to, PeerMessage message) {
            if (mEndpoints.get(mHost) == this) {
                transmit(this, to, message);
            }
        }

        @Override
        public void handle(int tag, PeerHandler handler) {
            mHandlers.put(tag, handler);
        }

        /**
         * Returns the number of messages sent.
         *
         * @return count since the endpoint was attached
         */
        public long sentMessages() {
            return mSentMessages;
        }

        /**
         * Returns the number of bytes sent.
         *
         * @return encoded bytes since the endpoint was attached
         */
        public long sentBytes() {
            return mSentBytes;
        }

        /**
         * Returns the number of messages received.
         *
         * @return count since the endpoint was attached
         */
        public long receivedMessages() {
            return mReceivedMessages;
        }

        /**
         * Returns the number of bytes received.
         *
         * @return encoded bytes since the endpoint was attached
         */
        public long receivedBytes() {
            return mReceivedBytes;
        }
    }
}
