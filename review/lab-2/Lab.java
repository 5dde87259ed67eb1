import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;

/**
 * Stand-ins of the platform for the cases of the second review: the store, engines, clients, and the
 * daemons as separate processes, started with the line "run" of deploy/system.toml. All addresses
 * are loopback addresses.
 */
final class Lab {
    static final ObjectMapper JSON = new ObjectMapper();
    static final long START = System.nanoTime();

    private static PrintWriter sRecord;

    private Lab() {}

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    /** Opens record.txt in the folder of the case. */
    static void open(Path folder) throws IOException {
        sRecord = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    static void log(String format, Object... values) {
        String line =
                String.format(Locale.ROOT, "%8.3f  ", now())
                        + String.format(Locale.ROOT, format, values);
        synchronized (Lab.class) {
            System.out.println(line);
            if (sRecord != null) {
                sRecord.println(line);
                sRecord.flush();
            }
        }
    }

    /** Writes a line into the record only. */
    static void note(String format, Object... values) {
        String line =
                String.format(Locale.ROOT, "%8.3f  ", now())
                        + String.format(Locale.ROOT, format, values);
        synchronized (Lab.class) {
            sRecord.println(line);
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The platform's metadata store, as PROTOCOL.md has it. */
    static final class Store {
        /** Events at most in an answer of a watch; 0 for no limit. */
        volatile int maxEvents;

        /** Answers of reads are held back for so long. */
        volatile long delayMs;

        /** While set, no answer is sent; connections stay open. */
        volatile boolean silent;

        private final HttpServer mServer;
        private final Map<String, TreeMap<String, ObjectNode>> mKinds = new HashMap<>();
        private final List<ObjectNode> mHistory = new ArrayList<>();
        private long mRevision = 100;
        final List<String> writes = new CopyOnWriteArrayList<>();

        Store() throws IOException {
            mServer = HttpServer.create(new InetSocketAddress(loopback(), 0), 100);
            mServer.setExecutor(
                    Executors.newCachedThreadPool(
                            task -> {
                                Thread thread = new Thread(task, "store");
                                thread.setDaemon(true);
                                return thread;
                            }));
            mServer.createContext("/", this::handle);
            mServer.start();
        }

        String address() {
            return "127.0.0.1:" + mServer.getAddress().getPort();
        }

        synchronized long put(String kind, String name, String spec) {
            try {
                return put(kind, name, JSON.readTree(spec));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        private synchronized long put(String kind, String name, JsonNode spec) {
            ObjectNode object = JSON.createObjectNode();
            object.putObject("metadata")
                    .put("name", name)
                    .put("revision", ++mRevision)
                    .put("created", 1)
                    .put("deleting", false)
                    .putArray("finalizers");
            object.set("spec", spec);
            object.putObject("status");
            mKinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, object);
            event(kind, object, false);
            return mRevision;
        }

        synchronized void remove(String kind, String name) {
            ObjectNode object = mKinds.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
            if (object != null) {
                ObjectNode gone = object.deepCopy();
                ((ObjectNode) gone.get("metadata")).put("revision", ++mRevision);
                event(kind, gone, true);
            }
        }

        private void event(String kind, ObjectNode object, boolean deleted) {
            ObjectNode event = JSON.createObjectNode();
            event.put("kind", kind);
            event.put("rev", mRevision);
            event.set("object", object);
            event.put("deleted", deleted);
            mHistory.add(event);
            notifyAll();
        }

        synchronized JsonNode get(String kind, String name) {
            return mKinds.getOrDefault(kind, new TreeMap<>()).get(name);
        }

        synchronized Map<String, ObjectNode> all(String kind) {
            return new TreeMap<>(mKinds.getOrDefault(kind, new TreeMap<>()));
        }

        private void handle(HttpExchange exchange) throws IOException {
            try {
                byte[] body = exchange.getRequestBody().readAllBytes();
                int[] status = {200};
                JsonNode reply = answer(exchange, body, status);
                if (delayMs > 0) {
                    sleep(delayMs);
                }
                while (silent) {
                    sleep(20);
                }
                byte[] bytes = JSON.writeValueAsBytes(reply);
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(status[0], bytes.length);
                try (OutputStream out = exchange.getResponseBody()) {
                    out.write(bytes);
                }
            } catch (RuntimeException e) {
                e.printStackTrace();
                exchange.close();
            }
        }

        private JsonNode answer(HttpExchange exchange, byte[] body, int[] status)
                throws IOException {
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            String[] parts = path.split("/", 5);
            String kind = parts.length > 2 ? parts[2] : "";
            String name = parts.length > 3 ? parts[3] : "";
            boolean ofStatus = parts.length > 4 && parts[4].equals("status");
            String method = exchange.getRequestMethod();
            if (method.equals("GET")) {
                if (!name.isEmpty()) {
                    JsonNode found = get(kind, name);
                    status[0] = found == null ? 404 : 200;
                    return found == null ? JSON.createObjectNode() : found;
                }
                return query.containsKey("watch") ? watch(kind, query) : list(kind, query);
            }
            return change(method, kind, name, ofStatus, query, body, status);
        }

        private static Map<String, String> query(String text) {
            Map<String, String> query = new HashMap<>();
            if (text != null) {
                for (String part : text.split("&")) {
                    String[] pair = part.split("=", 2);
                    query.put(
                            pair[0],
                            pair.length > 1
                                    ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8)
                                    : "");
                }
            }
            return query;
        }

        private synchronized JsonNode list(String kind, Map<String, String> query) {
            ObjectNode reply = JSON.createObjectNode();
            ArrayNode items = reply.putArray("items");
            boolean more = false;
            long bytes = 0;
            for (ObjectNode object :
                    mKinds.getOrDefault(kind, new TreeMap<>())
                            .tailMap(query.getOrDefault("after", ""), !query.containsKey("after"))
                            .values()) {
                bytes += object.toString().length();
                if (items.size() == 500 || (bytes > 1_000_000 && !items.isEmpty())) {
                    more = true;
                    break;
                }
                items.add(object);
            }
            reply.put("hasMore", more);
            reply.put("currentRev", mRevision);
            return reply;
        }

        private synchronized JsonNode watch(String kind, Map<String, String> query) {
            long after = Long.parseLong(query.get("watch"));
            long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
            while (true) {
                ObjectNode reply = JSON.createObjectNode();
                ArrayNode events = reply.putArray("events");
                long current = mRevision;
                for (ObjectNode event : mHistory) {
                    if (event.get("rev").asLong() > after
                            && event.get("kind").asText().equals(kind)) {
                        ObjectNode one = events.addObject();
                        one.set("object", event.get("object"));
                        one.put("deleted", event.get("deleted").asBoolean());
                        if (maxEvents > 0 && events.size() == maxEvents) {
                            current = event.get("rev").asLong();
                            break;
                        }
                    }
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || left <= 0) {
                    reply.put("currentRev", current);
                    return reply;
                }
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
        }

        private synchronized JsonNode change(
                String method,
                String kind,
                String name,
                boolean ofStatus,
                Map<String, String> query,
                byte[] body,
                int[] status)
                throws IOException {
            JsonNode sent = body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body);
            String key =
                    method.equals("POST") ? sent.path("metadata").path("name").asText() : name;
            TreeMap<String, ObjectNode> objects =
                    mKinds.computeIfAbsent(kind, k -> new TreeMap<>());
            ObjectNode present = objects.get(key);
            writes.add(String.format(Locale.ROOT, "%.3f %s %s/%s", now(), method, kind, key));
            if (method.equals("POST")) {
                if (present != null) {
                    status[0] = 409;
                    return present;
                }
                put(kind, key, sent.path("spec"));
                return objects.get(key);
            }
            if (present == null) {
                status[0] = 404;
                return JSON.createObjectNode();
            }
            JsonNode revision = sent.path("metadata").path("revision");
            long expected =
                    revision.isNumber()
                            ? revision.asLong()
                            : Long.parseLong(query.getOrDefault("revision", "-1"));
            if (expected >= 0 && expected != present.path("metadata").path("revision").asLong()) {
                status[0] = 409;
                return present;
            }
            if (method.equals("DELETE")) {
                remove(kind, key);
                return JSON.createObjectNode();
            }
            if (!ofStatus && !present.get("spec").equals(sent.path("spec"))) {
                put(kind, key, sent.path("spec"));
            }
            return objects.get(key);
        }
    }

    static InetAddress loopback() {
        try {
            return InetAddress.getByName("127.0.0.1");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A request as it was read. */
    static final class Request {
        String line;
        String raw;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String id() {
            return header("Request-Id");
        }
    }

    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (head.length() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended in a head");
            }
            head.append((char) next);
            int length = head.length();
            if (next == '\n' && length >= 4 && head.substring(length - 4).equals("\r\n\r\n")) {
                return head.toString();
            }
        }
    }

    static void parse(String head, Map<String, String> headers) {
        String[] lines = head.split("\r\n");
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon), lines[i].substring(colon + 1).strip());
        }
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended in a line");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    static byte[] readChunked(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
            byte[] chunk = in.readNBytes(size);
            body.write(chunk);
            if (chunk.length < size) {
                throw new EOFException("the connection ended in a chunk");
            }
            if (size == 0) {
                while (!readLine(in).isEmpty()) {
                    // trailers
                }
                return body.toByteArray();
            }
            readLine(in);
        }
    }

    static Request readRequest(InputStream in) throws IOException {
        String head = readHead(in);
        if (head == null) {
            return null;
        }
        Request request = new Request();
        request.raw = head;
        request.line = head.substring(0, head.indexOf("\r\n"));
        parse(head, request.headers);
        if (request.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            request.body = readChunked(in, new ByteArrayOutputStream());
        } else if (request.headers.containsKey("Content-Length")) {
            int length = Integer.parseInt(request.header("Content-Length"));
            request.body = in.readNBytes(length);
            if (request.body.length < length) {
                throw new EOFException("the connection ended in a body");
            }
        }
        return request;
    }

    /** What an engine does with a request that it has read. */
    interface Action {
        void run(Engine engine, Request request, Socket socket) throws Exception;
    }

    /** An engine, or an instance of a plain service. */
    static final class Engine {
        final String id;
        final String service;
        volatile Action action;
        volatile String zone = "z";
        volatile String extra = "";
        volatile int slots = 6;
        long born = System.currentTimeMillis();
        final List<Request> requests = new CopyOnWriteArrayList<>();
        final List<Socket> open = new CopyOnWriteArrayList<>();
        private ServerSocket mServer;
        private int mPort;
        private int mBeats;

        Engine(String id, String service, Action action) throws IOException {
            this.id = id;
            this.service = service;
            this.action = action;
            listen();
        }

        private void listen() throws IOException {
            mServer = new ServerSocket();
            mServer.setReuseAddress(true);
            mServer.bind(new InetSocketAddress(loopback(), mPort), 200);
            mPort = mServer.getLocalPort();
            ServerSocket server = mServer;
            Lab.start(
                    id,
                    () -> {
                        while (true) {
                            try {
                                Socket socket = server.accept();
                                socket.setTcpNoDelay(true);
                                open.add(socket);
                                Lab.start(id + "-c", () -> serve(socket));
                            } catch (IOException e) {
                                return;
                            }
                        }
                    });
        }

        String address() {
            return "127.0.0.1:" + mPort;
        }

        void register(Store store, String state) {
            store.put(
                    "servers",
                    id,
                    String.format(
                            Locale.ROOT,
                            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":1,"
                                    + "\"slots\":%d,\"state\":\"%s\",\"coldRemainingMs\":0,"
                                    + "\"sequence\":%d,\"born\":%d%s}",
                            service,
                            address(),
                            zone,
                            slots,
                            state,
                            ++mBeats,
                            born,
                            extra));
        }

        /** Writes the entry at each heartbeat, as an engine does. */
        void beat(Store store) {
            register(store, "ready");
            Lab.start(
                    id + "-beat",
                    () -> {
                        while (true) {
                            sleep(1200);
                            register(store, "ready");
                        }
                    });
        }

        /** Ends as a crashed process does: every connection is reset, nothing listens. */
        void crash() {
            try {
                mServer.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            for (Socket socket : open) {
                reset(socket);
            }
            open.clear();
        }

        void restart() throws IOException {
            born = System.currentTimeMillis();
            listen();
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                while (true) {
                    Request request = readRequest(in);
                    if (request == null) {
                        return;
                    }
                    if (request.target().equals("/report") || request.target().equals("/health")) {
                        reply(socket, 200, "Content-Type: application/json\r\n", report());
                        continue;
                    }
                    if (request.headers.containsKey("Expect-Instance")
                            && !request.header("Expect-Instance").equals(id)) {
                        reply(socket, 421, "Request-Id: " + request.id() + "\r\n", "");
                        continue;
                    }
                    requests.add(request);
                    action.run(this, request, socket);
                }
            } catch (Exception e) {
                // The connection has ended.
            } finally {
                open.remove(socket);
            }
        }

        private String report() {
            return "{\"stage\":\"unified\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,"
                    + "\"running\":0,\"kvUsed\":0,\"kvTotal\":1000000,\"handles\":0,\"pace\":1,"
                    + "\"born\":"
                    + born
                    + extra
                    + "}";
        }
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    static void reply(Socket socket, int status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        write(
                socket,
                "HTTP/1.1 "
                        + status
                        + " X\r\n"
                        + headers
                        + "Content-Length: "
                        + bytes.length
                        + "\r\n\r\n"
                        + body);
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    static String sealed(Request request) {
        return "Request-Id: " + request.id() + "\r\nResponse-Seal: seal." + request.id() + "\r\n";
    }

    /** An answer as a client has it. */
    static final class Answer {
        int status;
        boolean complete;
        String problem = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String body = "";

        boolean sealed() {
            return headers.containsKey("Response-Seal");
        }

        @Override
        public String toString() {
            return status
                    + (complete ? " whole" : " not whole")
                    + (sealed() ? " sealed " : " unsealed ")
                    + problem;
        }
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;

        Client(String address) throws IOException {
            String[] parts = address.split(":");
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
            socket.setSoTimeout(30_000);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        void send(String text) throws IOException {
            write(socket, text);
        }

        Answer receive(boolean head) {
            Answer answer = new Answer();
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                String text = readHead(in);
                if (text == null) {
                    answer.problem = "closed without an answer";
                    return answer;
                }
                answer.status = Integer.parseInt(text.split(" ")[1]);
                parse(text, answer.headers);
                if (head) {
                    answer.complete = true;
                } else if (answer.headers.containsKey("Transfer-Encoding")) {
                    readChunked(in, body);
                    answer.complete = true;
                } else if (answer.headers.containsKey("Content-Length")) {
                    int length = Integer.parseInt(answer.headers.get("Content-Length"));
                    body.write(in.readNBytes(length));
                    answer.complete = body.size() == length;
                } else {
                    answer.complete = true;
                }
            } catch (IOException e) {
                answer.problem = e.toString();
            }
            answer.body = body.toString(StandardCharsets.ISO_8859_1);
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A daemon of the project, as a process of its own. */
    static final class Daemon {
        final String node;
        final String ip;
        final String front;
        final String ready;
        private final ProcessBuilder mBuilder;
        Process process;

        /**
         * Prepares a daemon.
         *
         * @param root the repository, with the build of the deploy file
         * @param folder temporary folder
         */
        Daemon(Path root, Path folder, String node, String ip, String zone, Store store)
                throws IOException {
            this(root, folder, node, ip, zone, store, "{}");
        }

        Daemon(
                Path root,
                Path folder,
                String node,
                String ip,
                String zone,
                Store store,
                String bounds)
                throws IOException {
            this.node = node;
            this.ip = ip;
            front = ip + ":" + freePort(ip);
            ready = ip + ":" + freePort(ip);
            int peer = freePort(ip);
            ObjectNode settings =
                    (ObjectNode)
                            JSON.readTree(
                                    """
                    {"role":"gateway","machineClass":"front","serves":["front"],"region":"r",
                     "seeds":[],"bootstrap":true,"inTolerance":false,"discovery":"platform",
                     "entry":"vip","heartbeatMs":1200,
                     "contracts":["base","drain","config","cost","retry","recover","engine","stream",
                                  "tenants","platform","layers"],
                     "zones":{"z":"r","y":"r"},
                     "limits":{"cpuShare":0.51,"cores":1,"memoryMb":352,"maxFds":2118,
                               "linkMbps":490,"diskMb":0},
                     "faultTolerance":{"machines":1,"zones":1,"regions":0},
                     "bounds":{"seedLagS":3,"reuseAfterS":2,"stableWindowMs":3000,"ackMs":4000,
                       "catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,
                       "configApplyMs":2000,"rollbackSlackMs":250,"maxSkewMs":5000,
                       "strictRevoke":false,"revokeMs":5000,"retryBudgetRatio":0.2,
                       "budgetWindowS":10,"retryBudgetExtra":392,"recoveryS":12,"passMs":120,
                       "retryAfterS":0,"stall_ms":2500,"requireFence":true}}
                    """);
            settings.put("node", node).put("ip", ip).put("zone", zone);
            settings.putObject("listen").put("front", front).put("ready", ready);
            settings.putArray("internalPortRange").add(peer).add(peer + 1);
            settings.putObject("platform")
                    .put("address", store.address())
                    .put("form", "objects")
                    .put("writesPerS", 400)
                    .put("readsPerS", 2000)
                    .put("historyS", 20)
                    .put("valueBytes", 1048576)
                    .put("minTtlMs", 1000);
            ((ObjectNode) settings.get("bounds")).setAll((ObjectNode) JSON.readTree(bounds));
            Path file = folder.resolve(node + ".json");
            Files.write(file, JSON.writeValueAsBytes(settings));
            String run = "";
            for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
                if (line.startsWith("run = ")) {
                    run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            mBuilder = new ProcessBuilder(run.split(" "));
            mBuilder.directory(root.toFile());
            mBuilder.environment().put("AMARANTHPICK_SETTINGS", file.toString());
            mBuilder.redirectErrorStream(true);
            File log = folder.resolve(node + ".log").toFile();
            mBuilder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        }

        void start() throws IOException {
            process = mBuilder.start();
            Process started = process;
            Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
            log("daemon %s started, process %d, front %s", node, process.pid(), front);
        }

        boolean isReady() {
            try (Client client = new Client(ready)) {
                client.socket.setSoTimeout(1000);
                client.send("GET /ready HTTP/1.1\r\nHost: " + ready + "\r\n\r\n");
                return client.receive(false).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady(long ms) {
            long end = System.nanoTime() + ms * 1_000_000;
            while (!isReady()) {
                if (System.nanoTime() > end) {
                    throw new IllegalStateException(node + " is not ready");
                }
                sleep(50);
            }
        }

        void signal(String name) throws IOException {
            log("signal %s to %s", name, node);
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, 0));
            return socket.getLocalPort();
        }
    }

    /** A route of the operator's configuration. */
    static String route(String path, String kind, String service, long timeoutMs, int targetMs) {
        return String.format(
                Locale.ROOT,
                "{\"name\":\"r-%s\",\"host\":\"h.example\",\"pathPrefix\":\"/%s/\",\"kind\":\"%s\","
                        + "\"timeoutMs\":%d,\"targetLatencyMs\":%d,\"priority\":1,\"service\":\"%s\","
                        + "\"maxAttempts\":%d,\"allowAnonymous\":false%s}",
                path,
                path,
                kind,
                timeoutMs,
                targetMs,
                service,
                kind.equals("unsafe") ? 1 : 2,
                kind.equals("streaming")
                        ? ",\"sticky\":true,\"resumable\":true,\"targetGapMs\":200"
                        : "");
    }

    static String configuration(long version, String routes, String services) {
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + routes
                + "],\"services\":["
                + services
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"key-1\"]}]}";
    }

    static final String APP =
            "{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":208,"
                    + "\"protocol\":\"h1\",\"tls\":false}";

    /** A model whose layers all fit into one engine of the kind "card". */
    static final String LLM =
            "{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConnections\":2256,\"protocol\":\"h1\","
                    + "\"tls\":false,\"engine\":{\"layers\":8,\"layerMb\":100.0,\"kvTokenBytes\":8000,"
                    + "\"slots\":134,\"step_ms\":0.85,\"per_seq_ms\":0.004,\"context_per_k\":0.005,"
                    + "\"read_per_s\":196000,\"stride\":2,\"usual\":{\"prompt\":760,\"answer\":172},"
                    + "\"models\":[{\"name\":\"m0\",\"loadS\":14.0}],\"loads_at_once\":3,"
                    + "\"activationBytes\":29500,\"pipeMbps\":11000,"
                    + "\"kinds\":[{\"name\":\"card\",\"megabytes\":4000.0,\"pace\":1.0,"
                    + "\"readFactor\":1.0}]}}";

    static final String HOLDS_ALL =
            ",\"kind\":\"card\",\"layers\":{\"from\":0,\"to\":8,\"version\":1}";

    static String head(String method, String target, String id, long deadlineMs, String more) {
        return method
                + " "
                + target
                + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
                + id
                + "\r\nDeadline-Ms: "
                + deadlineMs
                + "\r\nX-Api-Key: key-1\r\n"
                + more
                + "\r\n";
    }
}
