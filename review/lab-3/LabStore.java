import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's metadata store, as PROTOCOL.md describes it: objects by kind and name, one
 * revision counter, conditional writes, lists in pages, and watches that return all events since a
 * revision. It is always up, fast and whole.
 */
final class LabStore implements AutoCloseable {
    private static final int PAGE_OBJECTS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final Pattern REVISION = Pattern.compile("\"revision\"\\s*:\\s*(\\d+)");
    private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]*)\"");

    private final TreeMap<String, Stored> mObjects = new TreeMap<>();
    private final List<Event> mEvents = new ArrayList<>();
    private final HttpServer mServer;
    private final ExecutorService mThreads = Executors.newCachedThreadPool(LabStore::daemonThread);
    private long mRevision = 10;
    private int mLargestReply;

    private record Stored(String kind, String name, long revision, long created, String spec) {
        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                    + ",\"created\":" + created + ",\"finalizers\":[],\"deleting\":false},\"spec\":"
                    + spec + ",\"status\":null}";
        }
    }

    private record Event(long revision, String kind, String json) {}

    LabStore() throws IOException {
        mServer = HttpServer.create(
                new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1000);
        mServer.setExecutor(mThreads);
        mServer.createContext("/objects/", this::handle);
        mServer.start();
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "store");
        thread.setDaemon(true);
        return thread;
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    /** Writes an object as the operator or an engine does; returns the revision: the ack. */
    synchronized long put(String kind, String name, String spec) {
        Stored before = mObjects.get(kind + "/" + name);
        mRevision++;
        store(new Stored(kind, name, mRevision, before == null ? mRevision : before.created, spec));
        return mRevision;
    }

    synchronized void remove(String kind, String name) {
        Stored before = mObjects.remove(kind + "/" + name);
        if (before != null) {
            mRevision++;
            event(new Stored(kind, name, mRevision, before.created, before.spec), true);
        }
    }

    /** Returns the length of the largest answer to a watch so far. */
    synchronized int largestReply() {
        return mLargestReply;
    }

    private void store(Stored object) {
        mObjects.put(object.kind + "/" + object.name, object);
        event(object, false);
    }

    private void event(Stored object, boolean deleted) {
        String json = "{\"deleted\":" + deleted + ",\"object\":" + object.json() + "}";
        mEvents.add(new Event(object.revision, object.kind, json));
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String[] parts =
                    exchange.getRequestURI().getPath().substring("/objects/".length()).split("/");
            Map<String, String> query = query(exchange.getRequestURI().getQuery());
            String method = exchange.getRequestMethod();
            if (method.equals("GET") && parts.length == 1 && query.containsKey("watch")) {
                watch(exchange, parts[0], query);
            } else if (method.equals("GET") && parts.length == 1) {
                reply(exchange, 200, list(parts[0], query.getOrDefault("after", "")));
            } else if (method.equals("GET")) {
                get(exchange, parts[0], parts[1]);
            } else {
                change(exchange, method, parts, query, new String(body, StandardCharsets.UTF_8));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        if (text != null) {
            for (String pair : text.split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return query;
    }

    private synchronized String list(String kind, String after) {
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Stored object : mObjects.tailMap(kind + "/" + after, after.isEmpty()).values()) {
            if (!object.kind.equals(kind)) {
                break;
            }
            if (count >= PAGE_OBJECTS || (count > 0 && items.length() > PAGE_BYTES)) {
                more = true;
                break;
            }
            items.append(count++ > 0 ? "," : "").append(object.json());
        }
        return "{\"items\":[" + items + "],\"hasMore\":" + more + ",\"currentRev\":" + mRevision + "}";
    }

    private void get(HttpExchange exchange, String kind, String name) throws IOException {
        Stored object;
        synchronized (this) {
            object = mObjects.get(kind + "/" + name);
        }
        reply(exchange, object == null ? 404 : 200, object == null ? "{}" : object.json());
    }

    private void watch(HttpExchange exchange, String kind, Map<String, String> query)
            throws IOException, InterruptedException {
        long after = Long.parseLong(query.get("watch"));
        long endMs = System.currentTimeMillis()
                + Math.min(30_000, Long.parseLong(query.getOrDefault("waitMs", "0")));
        StringBuilder events = new StringBuilder();
        long revision;
        synchronized (this) {
            while (!append(kind, after, events)) {
                long leftMs = endMs - System.currentTimeMillis();
                if (leftMs <= 0) {
                    break;
                }
                wait(leftMs);
            }
            revision = mRevision;
            mLargestReply = Math.max(mLargestReply, events.length());
        }
        reply(exchange, 200, "{\"events\":[" + events + "],\"currentRev\":" + revision + "}");
    }

    private boolean append(String kind, long after, StringBuilder events) {
        int first = mEvents.size();
        while (first > 0 && mEvents.get(first - 1).revision > after) {
            first--;
        }
        for (Event event : mEvents.subList(first, mEvents.size())) {
            if (event.kind.equals(kind)) {
                events.append(events.length() > 0 ? "," : "").append(event.json);
            }
        }
        return events.length() > 0;
    }

    private void change(
            HttpExchange exchange,
            String method,
            String[] parts,
            Map<String, String> query,
            String body)
            throws IOException {
        int status = 200;
        String answer;
        synchronized (this) {
            String kind = parts[0];
            String name = parts.length > 1 ? parts[1] : first(NAME, metadata(body));
            Stored before = mObjects.get(kind + "/" + name);
            String expected =
                    query.getOrDefault("revision", first(REVISION, metadata(body)));
            if (method.equals("POST") && before != null) {
                status = 409;
                answer = before.json();
            } else if (!method.equals("POST") && before == null) {
                status = 404;
                answer = "{}";
            } else if (before != null
                    && expected != null
                    && Long.parseLong(expected) != before.revision) {
                status = 409;
                answer = before.json();
            } else if (method.equals("DELETE")) {
                remove(kind, name);
                answer = before.json();
            } else {
                put(kind, name, spec(body));
                answer = mObjects.get(kind + "/" + name).json();
            }
        }
        reply(exchange, status, answer);
    }

    /** The daemons write {"metadata":{...},"spec":{...}}. */
    private static String metadata(String body) {
        int spec = body.indexOf("\"spec\"");
        return spec < 0 ? body : body.substring(0, spec);
    }

    private static String spec(String body) {
        int at = body.indexOf("\"spec\":");
        return body.substring(at + "\"spec\":".length(), body.lastIndexOf('}'));
    }

    private static String first(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        return matcher.find() ? matcher.group(1) : null;
    }

    private static void reply(HttpExchange exchange, int status, String json) throws IOException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    @Override
    public void close() {
        mServer.stop(0);
        mThreads.shutdownNow();
    }
}
