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
 * Network between daemons of one process on virtual time, for tests and measuring runs. Messages
 * pass through the codec, can be delayed, lost or cut, and are counted. Not thread-safe.
 */
public final class VirtualPeers {
    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final PeerCodec mCodec;
    private final Map<Identity, Endpoint> mEndpoints = new HashMap<>();
    private final Set<Identity> mDown = new HashSet<>();
    private final Map<Identity, List<Runnable>> mPaused = new HashMap<>();
    private BiPredicate<Identity, Identity> mCut = (from, to) -> false;
    private Duration mMinDelay = Duration.ofMillis(1);
    private Duration mMaxDelay = Duration.ofMillis(5);
    private double mLossRate;

    /**
     * Creates the network.
     *
     * @param scheduler virtual time
     * @param random source of delays and losses
     * @param codec codec of all messages
     */
    public VirtualPeers(Scheduler scheduler, RandomGenerator random, PeerCodec codec) {
        mScheduler = scheduler;
        mRandom = random;
        mCodec = codec;
    }

    /**
     * Sets the delay of each message.
     *
     * @param min shortest delay
     * @param max longest delay, above {@code min}
     */
    public void setDelay(Duration min, Duration max) {
        mMinDelay = min;
        mMaxDelay = max;
    }

    /**
     * Sets the share of messages that are lost.
     *
     * @param rate 0 to 1
     */
    public void setLossRate(double rate) {
        mLossRate = rate;
    }

    /**
     * Cuts pairs of daemons off from each other.
     *
     * @param cut true for each pair (sender, receiver) whose messages are lost
     */
    public void setCut(BiPredicate<Identity, Identity> cut) {
        mCut = cut;
    }

    /**
     * Stops or restarts delivery to and from one daemon.
     *
     * @param host daemon
     * @param down true to stop
     */
    public void setDown(Identity host, boolean down) {
        if (down) {
            mDown.add(host);
        } else {
            mDown.remove(host);
        }
    }

    /**
     * Holds back the messages to one daemon, or delivers those held back.
     *
     * @param host daemon
     * @param paused true to hold back
     */
    public void setPaused(Identity host, boolean paused) {
        if (paused) {
            mPaused.putIfAbsent(host, new ArrayList<>());
            return;
        }
        List<Runnable> held = mPaused.remove(host);
        if (held != null) {
            held.forEach(Runnable::run);
        }
    }

    /**
     * Attaches a daemon; a former one under the same identity is detached.
     *
     * @param host daemon
     * @return its side of the network
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
        if (lost || mCut.test(from.mHost, to) || mDown.contains(from.mHost)) {
            return;
        }
        long spanNs = mMaxDelay.minus(mMinDelay).toNanos();
        Duration delay = mMinDelay.plusNanos(mRandom.nextLong(Math.max(1, spanNs)));
        mScheduler.schedule(delay, () -> deliver(from.mHost, to, bytes));
    }

    private void deliver(Identity from, Identity to, byte[] bytes) {
        Endpoint receiver = mEndpoints.get(to);
        if (receiver == null || mDown.contains(to) || mCut.test(from, to)) {
            return;
        }
        List<Runnable> held = mPaused.get(to);
        if (held != null) {
            held.add(() -> deliver(from, to, bytes));
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

    /** One daemon's side of the network, with counters of its encoded messages. */
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
         * Counts the messages sent.
         *
         * @return count since the attachment
         */
        public long sentMessages() {
            return mSentMessages;
        }

        /**
         * Counts the bytes sent.
         *
         * @return encoded bytes since the attachment
         */
        public long sentBytes() {
            return mSentBytes;
        }

        /**
         * Counts the messages received.
         *
         * @return count since the attachment
         */
        public long receivedMessages() {
            return mReceivedMessages;
        }

        /**
         * Counts the bytes received.
         *
         * @return encoded bytes since the attachment
         */
        public long receivedBytes() {
            return mReceivedBytes;
        }
    }
}
