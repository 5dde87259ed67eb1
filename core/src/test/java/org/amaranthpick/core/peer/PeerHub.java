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

/** Joins daemons of one test: packs each message, then delays, doubles or loses it. */
public final class PeerHub {
    private static final int MAX_DELAY_MS = 40;

    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final double mLoss;
    private final Map<Integer, MessageCodec<?>> mCodecs = new HashMap<>();
    private final Map<Identity, Map<Integer, PeerHandler>> mHandlers = new HashMap<>();
    private final Set<Set<Identity>> mCuts = new HashSet<>();
    private long mBytes;
    private long mMessages;

    public PeerHub(
            Scheduler scheduler,
            RandomGenerator random,
            double loss,
            List<MessageCodec<?>> codecs) {
        mScheduler = scheduler;
        mRandom = random;
        mLoss = loss;
        codecs.forEach(codec -> mCodecs.put(codec.tag(), codec));
    }

    /** Returns the network of one daemon; a second call stands for its restart. */
    public PeerNetwork network(Identity self) {
        Map<Integer, PeerHandler> handlers = new HashMap<>();
        mHandlers.put(self, handlers);
        return new PeerNetwork() {
            @Override
            public void send(Identity to, PeerMessage message) {
                deliver(self, to, message);
            }

            @Override
            public void handle(int tag, PeerHandler handler) {
                handlers.put(tag, handler);
            }
        };
    }

    /** Cuts or joins two daemons. */
    public void cut(Identity a, Identity b, boolean cut) {
        if (cut) {
            mCuts.add(Set.of(a, b));
        } else {
            mCuts.remove(Set.of(a, b));
        }
    }

    /** Joins all daemons again. */
    public void heal() {
        mCuts.clear();
    }

    /** Takes a daemon off the network. */
    public void remove(Identity host) {
        mHandlers.remove(host);
    }

    public long bytes() {
        return mBytes;
    }

    public long messages() {
        return mMessages;
    }

    private void deliver(Identity from, Identity to, PeerMessage message) {
        byte[] bytes = pack(message);
        mBytes += bytes.length;
        mMessages++;
        int copies = mLoss > 0 && mRandom.nextDouble() < mLoss ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (mRandom.nextDouble() < mLoss) {
                continue;
            }
            Duration delay = Duration.ofMillis(1 + mRandom.nextInt(mLoss > 0 ? MAX_DELAY_MS : 1));
            mScheduler.schedule(delay, () -> arrive(from, to, message.tag(), bytes));
        }
    }

    private void arrive(Identity from, Identity to, int tag, byte[] bytes) {
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
