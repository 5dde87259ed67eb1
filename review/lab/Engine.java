package lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;

/** Stand-in for an engine or a plain service, as PROTOCOL.md describes them. */
public final class Engine {
    public final String id;
    public final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    public volatile int workMs;
    public volatile int events = 86;
    public volatile int eventMs = 20;
    public final AtomicInteger orders = new AtomicInteger();

    /** Called with the first layer and the end of a range that was ordered. */
    public volatile BiConsumer<Integer, Integer> onPlace = (from, to) -> {};

    /** Whether the engine is down: it resets every connection. */
    public volatile boolean down;

    private long mFence;
    private final Semaphore mSlots;
    private final ServerSocket mServer;

    public Engine(String id, String ip, int slots, int workMs) throws Exception {
        this.id = id;
        this.workMs = workMs;
        mSlots = new Semaphore(slots);
        mServer = Http.serve(ip, 0, this::handle);
    }

    public String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    private boolean handle(Http.Message request, Socket socket) throws Exception {
        if (down) {
            socket.setSoLinger(true, 0);
            return false;
        }
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.write(socket, "HTTP/1.1 421 X", "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (request.target().equals("/report")) {
            Http.json(
                    socket,
                    200,
                    "{\"stage\":\"unified\",\"models\":[],\"busy\":false,\"sequence\":"
                            + orders
                            + ",\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":90000,"
                            + "\"stalled\":[]}");
            return true;
        }
        if (request.target().equals("/order")) {
            order(request, socket);
            return true;
        }
        String requestId = request.header("Request-Id");
        if (!mSlots.tryAcquire(1, 500, java.util.concurrent.TimeUnit.MILLISECONDS)) {
            Http.write(
                    socket,
                    "HTTP/1.1 503 X",
                    "Not-Executed: 1\r\nRequest-Id: " + requestId + "\r\n",
                    new byte[0]);
            return true;
        }
        try {
            runs.computeIfAbsent(requestId, key -> new AtomicInteger()).incrementAndGet();
            String head = "Request-Id: " + requestId + "\r\nResponse-Seal: s-" + id + "\r\n";
            if (request.header("Hop-Count") != null) {
                stream(request, socket, head);
            } else {
                Thread.sleep(workMs);
                byte[] body =
                        ("run of " + requestId + " " + "x".repeat(780))
                                .getBytes(StandardCharsets.US_ASCII);
                Http.write(socket, "HTTP/1.1 200 OK", head, body);
            }
        } finally {
            mSlots.release();
        }
        return true;
    }

    private synchronized void order(Http.Message request, Socket socket) throws Exception {
        Lab.record("order at %s: %s", id, request.text());
        JsonNode order = new ObjectMapper().readTree(request.body);
        long fence = order.path("fencingToken").asLong();
        if (fence < mFence) {
            Http.json(socket, 412, "{}");
        } else if (order.path("precondition").asLong() != orders.get()) {
            Http.json(socket, 409, "{}");
        } else {
            mFence = fence;
            orders.incrementAndGet();
            Http.json(socket, 202, "{}");
            onPlace.accept(order.path("from").asInt(), order.path("to").asInt());
        }
    }

    private void stream(Http.Message request, Socket socket, String head) throws Exception {
        OutputStream out = socket.getOutputStream();
        out.write(
                ("HTTP/1.1 200 OK\r\n"
                                + head
                                + "Content-Type: text/event-stream\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        String last = request.header("Last-Event-Id");
        for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= events; i++) {
            String event = "id: " + i + "\ndata: " + "w".repeat(50) + "\n\n";
            if (down) {
                socket.setSoLinger(true, 0);
                throw new IllegalStateException("down");
            }
            out.write(
                    (Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(eventMs);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }
}
