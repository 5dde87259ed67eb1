package org.amaranthpick.core.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Simulated network between the daemons of one test: delays, duplicates and loses messages. */
public final class LossyPeerNetwork {
    private static final int MAX_DELAY_MS = 40;

    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final double mLossRate;
    private final Map<Integer, MessageCodec<?>> mCodecs = new HashMap<>();
    private final Map<Identity, Map<Integer, PeerHandler>> mHandlers = new HashMap<>();
    private final Set<Set<Identity>> mCuts = new HashSet<>();
    private long mBytes;
    private long mMessages;

    public LossyPeerNetwork(
            Scheduler scheduler,
            RandomGenerator random,
            double lossRate,
            List<MessageCodec<?>> codecs) {
        mScheduler = scheduler;
        mRandom = random;
        mLossRate = lossRate;
        codecs.forEach(codec -> mCodecs.put(codec.tag(), codec));
    }

    /** Returns the network as seen by one daemon; a second call replaces it, as after a restart. */
    public PeerNetwork network(Identity self) {
        Map<Integer, PeerHandler> handlers = new HashMap<>();
        mHandlers.put(self, handlers);
        return new PeerNetwork() {
            @Override
            public void send(Identity to, PeerMessage message) {
                transmit(self, to, message);
            }

            @Override
            public void handle(int tag, PeerHandler handler) {
                handlers.put(tag, handler);
            }
        };
    }

    /** Cuts the link between two daemons, or restores it. */
    public void setCut(Identity a, Identity b, boolean cut) {
        if (cut) {
            mCuts.add(Set.of(a, b));
        } else {
            mCuts.remove(Set.of(a, b));
        }
    }

    /** Restores all links. */
    public void restoreAll() {
        mCuts.clear();
    }

    /** Removes a daemon from the network. */
    public void remove(Identity host) {
        mHandlers.remove(host);
    }

    public long bytes() {
        return mBytes;
    }

    public long messages() {
        return mMessages;
    }

    private void transmit(Identity from, Identity to, PeerMessage message) {
        byte[] bytes = pack(message);
        mBytes += bytes.length;
        mMessages++;
        int copies = mLossRate > 0 && mRandom.nextDouble() < mLossRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (mRandom.nextDouble() < mLossRate) {
                continue;
            }
            Duration delay =
                    Duration.ofMillis(1 + mRandom.nextInt(mLossRate > 0 ? MAX_DELAY_MS : 1));
            mScheduler.schedule(delay, () -> deliver(from, to, message.tag(), bytes));
        }
    }

    private void deliver(Identity from, Identity to, int tag, byte[] bytes) {
        Map<Integer, PeerHandler> handlers = mHandlers.get(to);
        boolean sameHost = from.equals(to);
        if (handlers == null || (!sameHost && mCuts.contains(Set.of(from, to)))) {
            return;
        }
        PeerHandler handler = handlers.get(tag);
        if (handler != null) {
            handler.onMessage(from, unpack(tag, bytes));
        }
    }

    @SuppressWarnings("unchecked")
    private byte[] pack(PeerMessage message) {
        MessageCodec<PeerMessage> codec = (MessageCodec<PeerMessage>) mCodecs.get(message.tag());
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            codec.pack(message, packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private PeerMessage unpack(int tag, byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return mCodecs.get(tag).unpack(unpacker);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
