package org.amaranthpick.core.request;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.claim.ClaimCodecs;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.MessageCodec;
import org.amaranthpick.core.peer.PeerHandler;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.VirtualScheduler;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Network that encodes the messages of processes and delays, loses or duplicates them. */
final class FakeNetwork {
    private final VirtualScheduler mTime;
    private final RandomGenerator mRandom;
    private final Map<Identity, Port> mPorts = new HashMap<>();

    /** Probability that a message is lost, and that a message that is not lost is duplicated. */
    double mMessageFaultProbability;

    /** Probability that a message is delivered with a long delay. */
    double mDelayProbability;

    FakeNetwork(VirtualScheduler time, RandomGenerator random) {
        mTime = time;
        mRandom = random;
    }

    /** Opens the port of a process and disconnects an earlier process of the host. */
    Port open(Identity host, FakeProcess process) {
        Port port = new Port(host, process);
        mPorts.put(host, port);
        return port;
    }

    /** Network port of one process. */
    final class Port implements PeerNetwork {
        private final Identity mHost;
        private final FakeProcess mProcess;
        private final Map<Integer, PeerHandler> mHandlers = new HashMap<>();

        Port(Identity host, FakeProcess process) {
            mHost = host;
            mProcess = process;
        }

        @Override
        public void send(Identity to, PeerMessage message) {
            if (mRandom.nextDouble() < mMessageFaultProbability) {
                return;
            }
            byte[] bytes = encode(message);
            int copies = mRandom.nextDouble() < mMessageFaultProbability ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                var unused = mTime.schedule(delay(), () -> deliver(to, message.tag(), bytes));
            }
        }

        @Override
        public void handle(int tag, PeerHandler handler) {
            mHandlers.put(tag, handler);
        }

        private void deliver(Identity to, int tag, byte[] bytes) {
            Port port = mPorts.get(to);
            if (port != null) {
                port.mProcess.run(
                        () -> port.mHandlers.get(tag).onMessage(mHost, decode(tag, bytes)));
            }
        }

        private Duration delay() {
            boolean slow = mRandom.nextDouble() < mDelayProbability;
            return Duration.ofMillis(slow ? mRandom.nextInt(6_000) : 1 + mRandom.nextInt(20));
        }
    }

    @SuppressWarnings("unchecked")
    private static byte[] encode(PeerMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            ((MessageCodec<PeerMessage>) codec(message.tag())).pack(message, packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static PeerMessage decode(int tag, byte[] bytes) {
        try {
            return codec(tag).unpack(MessagePack.newDefaultUnpacker(bytes));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static MessageCodec<?> codec(int tag) {
        return ClaimCodecs.all().stream().filter(c -> c.tag() == tag).findFirst().orElseThrow();
    }
}
