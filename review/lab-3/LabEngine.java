import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;

/**
 * A sound engine of a plain service, as PROTOCOL.md describes it: runs a request for a set time,
 * echoes its id and signs the answer.
 */
final class LabEngine implements AutoCloseable {
    private final String mId;
    private final long mWorkMs;
    private final int mAnswerBytes;
    private final HttpServer mServer;
    private final List<String> mRun = new CopyOnWriteArrayList<>();

    LabEngine(String id, long workMs) throws IOException {
        this(id, workMs, 0);
    }

    /** Starts an engine whose answers have a number of bytes at least. */
    LabEngine(String id, long workMs, int answerBytes) throws IOException {
        mId = id;
        mWorkMs = workMs;
        mAnswerBytes = answerBytes;
        mServer = HttpServer.create(
                new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1000);
        mServer.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, id);
            thread.setDaemon(true);
            return thread;
        }));
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    /** Returns the ids of the requests that it ran. */
    List<String> run() {
        return mRun;
    }

    /** Returns its entry in the platform's store. */
    String entry(String service, String zone) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\""
                + zone + "\",\"version\":\"v1\",\"slots\":60,\"state\":\"ready\","
                + "\"coldRemainingMs\":0,\"sequence\":1,\"born\":1}";
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
            String id = exchange.getRequestHeaders().getFirst("Request-Id");
            if (expected != null && !expected.equals(mId)) {
                exchange.sendResponseHeaders(421, -1);
                return;
            }
            if (id == null) {
                exchange.getResponseHeaders().set("Not-Executed", "1");
                exchange.sendResponseHeaders(400, -1);
                return;
            }
            mRun.add(id);
            Thread.sleep(mWorkMs);
            byte[] text = (mId + " got " + body.length).getBytes("US-ASCII");
            byte[] answer = Arrays.copyOf(text, Math.max(text.length, mAnswerBytes));
            exchange.getResponseHeaders().set("Request-Id", id);
            exchange.getResponseHeaders().set("Response-Seal", "seal-" + mId);
            exchange.sendResponseHeaders(200, answer.length);
            exchange.getResponseBody().write(answer);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        mServer.stop(0);
    }
}
