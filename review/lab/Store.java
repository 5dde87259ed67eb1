package lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store, as PROTOCOL.md describes it. */
public final class Store {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private record Entry(String name, byte[] spec, byte[] status, long revision, long created) {}

    private record Event(String kind, Entry entry, boolean deleted, long revision) {}

    private final TreeMap<String, Entry> mObjects = new TreeMap<>();
    private final List<Event> mEvents = new ArrayList<>();
    private final ServerSocket mServer;
    private long mRevision = 100;

    public Store(String ip) throws Exception {
        mServer = Http.serve(ip, 0, this::handle);
    }

    public String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    /** Writes an object as the operator or an engine does. */
    public synchronized void put(String kind, String name, String spec) {
        putBytes(kind, name, spec.getBytes(StandardCharsets.UTF_8));
    }

    public synchronized void putBytes(String kind, String name, byte[] spec) {
        write(kind, name, spec, "null".getBytes(StandardCharsets.UTF_8));
    }

    public synchronized void remove(String kind, String name) {
        Entry old = mObjects.remove(kind + "/" + name);
        if (old != null) {
            mRevision++;
            mEvents.add(new Event(kind, old, true, mRevision));
            notifyAll();
        }
    }

    private Entry write(String kind, String name, byte[] spec, byte[] status) {
        Entry old = mObjects.get(kind + "/" + name);
        mRevision++;
        Entry entry =
                new Entry(name, spec, status, mRevision, old == null ? mRevision : old.created);
        mObjects.put(kind + "/" + name, entry);
        mEvents.add(new Event(kind, entry, false, mRevision));
        notifyAll();
        return entry;
    }

    private static byte[] render(Entry entry) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String head =
                "{\"metadata\":{\"name\":"
                        + MAPPER.writeValueAsString(entry.name)
                        + ",\"revision\":"
                        + entry.revision
                        + ",\"created\":"
                        + entry.created
                        + ",\"finalizers\":[],\"deleting\":false},\"spec\":";
        out.write(head.getBytes(StandardCharsets.UTF_8));
        out.write(entry.spec);
        out.write(",\"status\":".getBytes(StandardCharsets.UTF_8));
        out.write(entry.status);
        out.write('}');
        return out.toByteArray();
    }

    private static void reply(Socket socket, int status, byte[] body) throws Exception {
        Http.write(
                socket, "HTTP/1.1 " + status + " X", "Content-Type: application/json\r\n", body);
    }

    private boolean handle(Http.Message request, Socket socket) throws Exception {
        String target = request.target();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        String[] parts = path.substring("/objects/".length()).split("/");
        String kind = parts[0];
        String name = parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "";
        if (request.method().equals("GET")) {
            if (!name.isEmpty()) {
                byte[] body;
                synchronized (this) {
                    Entry entry = mObjects.get(kind + "/" + name);
                    body = entry == null ? null : render(entry);
                }
                reply(socket, body == null ? 404 : 200, body == null ? bytes("{}") : body);
            } else if (query.containsKey("watch")) {
                watch(socket, kind, query);
            } else {
                list(socket, kind);
            }
        } else {
            change(socket, request, kind, name, query);
        }
        return true;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void list(Socket socket, String kind) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        synchronized (this) {
            out.write(bytes("{\"items\":["));
            boolean first = true;
            for (Map.Entry<String, Entry> e : mObjects.entrySet()) {
                if (e.getKey().startsWith(kind + "/")) {
                    out.write(bytes(first ? "" : ","));
                    out.write(render(e.getValue()));
                    first = false;
                }
            }
            out.write(bytes("],\"hasMore\":false,\"currentRev\":" + mRevision + "}"));
        }
        reply(socket, 200, out.toByteArray());
    }

    private void watch(Socket socket, String kind, Map<String, String> query) throws Exception {
        long after = Long.parseLong(query.get("watch"));
        long endNs = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        synchronized (this) {
            while (mEvents.stream().noneMatch(e -> e.kind.equals(kind) && e.revision > after)) {
                long leftMs = (endNs - System.nanoTime()) / 1_000_000;
                if (leftMs <= 0) {
                    break;
                }
                wait(leftMs);
            }
            out.write(bytes("{\"events\":["));
            boolean first = true;
            for (Event event : mEvents) {
                if (event.kind.equals(kind) && event.revision > after) {
                    out.write(bytes((first ? "" : ",") + "{\"deleted\":" + event.deleted));
                    out.write(bytes(",\"object\":"));
                    out.write(render(event.entry));
                    out.write('}');
                    first = false;
                }
            }
            out.write(bytes("],\"currentRev\":" + mRevision + "}"));
        }
        reply(socket, 200, out.toByteArray());
    }

    private void change(
            Socket socket, Http.Message request, String kind, String name, Map<String, String> query)
            throws Exception {
        JsonNode body =
                request.body.length == 0 ? MAPPER.nullNode() : MAPPER.readTree(request.body);
        String object = name.isEmpty() ? body.path("metadata").path("name").asText() : name;
        int status = 200;
        byte[] answer;
        synchronized (this) {
            Entry old = mObjects.get(kind + "/" + object);
            long expected =
                    query.containsKey("revision")
                            ? Long.parseLong(query.get("revision"))
                            : body.path("metadata").path("revision").asLong(-1);
            boolean create = request.method().equals("POST");
            if (create ? old != null : old == null || expected >= 0 && expected != old.revision) {
                status = old == null ? 404 : 409;
                answer = old == null ? bytes("{}") : render(old);
            } else if (request.method().equals("DELETE")) {
                remove(kind, object);
                answer = render(old);
            } else {
                byte[] spec = MAPPER.writeValueAsBytes(body.path("spec"));
                answer = render(write(kind, object, spec, bytes("null")));
            }
        }
        reply(socket, status, answer);
    }
}
