package org.amaranthpick.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.server.peer.FrameCodec;
import org.amaranthpick.server.peer.PeerCounters;
import org.amaranthpick.server.peer.PeerKeys;
import org.amaranthpick.server.peer.PeerSettings;
import org.amaranthpick.server.peer.PeerTransport;
import org.amaranthpick.server.time.SystemScheduler;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Bytes and processor time that the transport between daemons spends per message. */
public final class PeerTransportCost {
    private static final int TAG = 1;
    private static final int WARM_UP_CONNECTIONS = 300;
    private static final int CONNECTIONS = 1000;
    private static final int DAEMONS = 400;

    private final SystemScheduler mScheduler = new SystemScheduler("measured-timer");
    private final XnioWorker mSenderWorker = worker("measured-sender");
    private final XnioWorker mReceiverWorker = worker("measured-receiver");
    private final AtomicLong mReceived = new AtomicLong();
    private final Semaphore mArrived = new Semaphore(0);
    private final PeerTransport mReceiver = transport("b", mReceiverWorker, 0);
    private final PeerTransport mSender =
            transport("a", mSenderWorker, mReceiver.address().getPort());

    /** Message of a fixed size. */
    @SuppressWarnings("ArrayRecordComponent")
    private record Payload(byte[] bytes) implements PeerMessage {
        @Override
        public int tag() {
            return TAG;
        }
    }

    private PeerTransportCost() throws IOException {
        mReceiver.handle(
                TAG,
                (from, message) -> {
                    mReceived.incrementAndGet();
                    mArrived.release();
                });
    }

    /**
     * Prints one row per message size and pace, then the cost of a connection.
     *
     * @param args not used
     * @throws Exception if the run fails
     */
    public static void main(String[] args) throws Exception {
        PeerTransportCost cost = new PeerTransportCost();
        System.out.println("bytes  pace    messages  wire_bytes/msg  send_us/msg  receive_us/msg");
        for (int size : new int[] {64, 1024}) {
            cost.row(size, 1, 20_000);
            cost.row(size, 1, 20_000);
            cost.row(size, 64, 200_000);
            cost.row(size, 64, 200_000);
        }
        cost.connections(WARM_UP_CONNECTIONS);
        cost.connections(CONNECTIONS);
        cost.memory();
        cost.close();
    }

    private void row(int size, int inFlight, int messages) throws InterruptedException {
        ThreadCpu sender = new ThreadCpu("measured-sender");
        ThreadCpu receiver = new ThreadCpu("measured-receiver");
        long sentNs = sender.usedNs();
        long receivedNs = receiver.usedNs();
        long bytes = mSender.counters().get(PeerCounters.Event.BYTES_SENT);
        Payload payload = new Payload(new byte[size]);
        mArrived.drainPermits();
        for (int i = 0; i < messages; i++) {
            if (i >= inFlight) {
                mArrived.acquire();
            }
            mSender.send(host("b"), payload);
        }
        mArrived.acquire(inFlight);
        System.out.printf(
                "%5d  %-6s  %8d  %14.1f  %11.2f  %14.2f%n",
                size,
                inFlight == 1 ? "single" : "batch",
                messages,
                (mSender.counters().get(PeerCounters.Event.BYTES_SENT) - bytes) / (double) messages,
                (sender.usedNs() - sentNs) / 1000.0 / messages,
                (receiver.usedNs() - receivedNs) / 1000.0 / messages);
    }

    private void connections(int count) throws InterruptedException {
        ThreadCpu sender = new ThreadCpu("measured-sender");
        ThreadCpu receiver = new ThreadCpu("measured-receiver");
        long sentNs = sender.usedNs();
        long receivedNs = receiver.usedNs();
        long bytes = wireBytes();
        mArrived.drainPermits();
        for (int i = 0; i < count; i++) {
            mSender.forget(host("b"));
            mSender.send(host("b"), new Payload(new byte[1]));
            mArrived.acquire();
        }
        System.out.printf(
                "connection and one message: %d, wire bytes both ways %.0f, opener %.0f us,"
                        + " acceptor %.0f us%n",
                count,
                (wireBytes() - bytes) / (double) count,
                (sender.usedNs() - sentNs) / 1000.0 / count,
                (receiver.usedNs() - receivedNs) / 1000.0 / count);
    }

    /** Opens connections from many daemons to one and compares the heap before and after. */
    private void memory() throws IOException, InterruptedException {
        int port = mReceiver.address().getPort();
        List<PeerTransport> daemons = new ArrayList<>();
        for (int i = 0; i < DAEMONS; i++) {
            daemons.add(transport("d" + i, mSenderWorker, port));
        }
        long before = usedHeapBytes();
        mArrived.drainPermits();
        for (PeerTransport daemon : daemons) {
            daemon.send(host("b"), new Payload(new byte[1]));
        }
        if (!mArrived.tryAcquire(DAEMONS, 10, TimeUnit.SECONDS)) {
            throw new IllegalStateException(
                    "only " + mArrived.availablePermits() + " of " + DAEMONS + " messages came");
        }
        long after = usedHeapBytes();
        System.out.printf(
                "open connections: %d, heap of both ends together %.1f KB each%n",
                DAEMONS, (after - before) / 1024.0 / DAEMONS);
        daemons.forEach(PeerTransport::close);
    }

    private static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private long wireBytes() {
        return mSender.counters().get(PeerCounters.Event.BYTES_SENT)
                + mSender.counters().get(PeerCounters.Event.BYTES_RECEIVED);
    }

    private void close() {
        mSender.close();
        mReceiver.close();
        mScheduler.close();
        mSenderWorker.shutdownNow();
        mReceiverWorker.shutdownNow();
    }

    private PeerTransport transport(String name, XnioWorker worker, int peerPort)
            throws IOException {
        return new PeerTransport(
                new PeerTransport.Parts(
                        host(name),
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new PeerKeys(new byte[PeerKeys.MIN_KEY_BYTES], Optional.empty()),
                        peer ->
                                peerPort == 0
                                        ? Optional.empty()
                                        : Optional.of(new PeerAddress("127.0.0.1", peerPort)),
                        new BytesCodec(),
                        worker,
                        mScheduler,
                        new SecureRandom(),
                        PeerSettings.defaults()));
    }

    private static Identity host(String name) {
        return new Identity("f", ResourceKind.HOST, name);
    }

    private static XnioWorker worker(String name) throws IOException {
        return Xnio.getInstance()
                .createWorker(
                        OptionMap.builder()
                                .set(Options.WORKER_IO_THREADS, 1)
                                .set(Options.WORKER_NAME, name)
                                .getMap());
    }

    /** Carries the bytes as they are. */
    private static final class BytesCodec implements FrameCodec {
        @Override
        public byte[] encode(PeerMessage message) {
            return ((Payload) message).bytes();
        }

        @Override
        public Optional<PeerMessage> decode(byte[] payload) {
            return Optional.of(new Payload(payload));
        }
    }
}
