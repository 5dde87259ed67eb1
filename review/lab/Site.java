package lab;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The services, routes and keys of a small deployment (ctm-viseu) on stand-ins. */
public final class Site {
    public static final String KEY = "n2ctnfzs989anu6wsjnb";
    public static final long BORN = 1700000000000L;
    public final Store store;
    public final List<Engine> apps = new ArrayList<>();
    public final List<Engine> models = new ArrayList<>();
    private final String mIp;
    private long mBeat = 1;

    public Site(String ip) throws Exception {
        mIp = ip;
        store = new Store(ip);
        for (int i = 0; i < 3; i++) {
            Engine app = new Engine("i-app" + i, ip, 30, 43);
            apps.add(app);
            beat(app, "ready");
        }
        store.put("config", "main", config(7));
    }

    /** Adds engines that hold all layers of the model in three parts. */
    public void addModels() throws Exception {
        int[][] parts = {{0, 27}, {27, 54}, {54, 80}};
        for (int[] part : parts) {
            Engine engine = new Engine("i-llm" + part[0], mIp, 1000, 0);
            models.add(engine);
            putModel(engine, part[0], part[1], BORN);
        }
    }

    /** Writes the entry of a model engine; it holds no layers if the range is empty. */
    public synchronized void putModel(Engine engine, int from, int to, long born) {
        String layers =
                to > from
                        ? "\"layers\":{\"from\":" + from + ",\"to\":" + to + ",\"version\":1},"
                        : "";
        store.put(
                "servers",
                engine.id,
                "{\"service\":\"assist-llm\",\"address\":\"" + engine.address()
                        + "\",\"zone\":\"viseu-a\",\"version\":\"v1\",\"slots\":134,"
                        + "\"state\":\"ready\",\"coldRemainingMs\":0,\"kind\":\"h100\","
                        + layers + "\"sequence\":" + ++mBeat + ",\"born\":" + born + "}");
    }

    public synchronized void beat(Engine app, String state) {
        store.put(
                "servers",
                app.id,
                "{\"service\":\"lending-app\",\"address\":\"" + app.address()
                        + "\",\"zone\":\"viseu-a\",\"version\":\"v1\",\"slots\":6,\"state\":\""
                        + state + "\",\"coldRemainingMs\":0,\"sequence\":" + ++mBeat
                        + ",\"born\":1700000000000}");
    }

    private static String route(String path, String kind, String service, String more) {
        return "{\"name\":\"r-" + path + "\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/"
                + path + "/\",\"kind\":\"" + kind + "\",\"priority\":1,\"service\":\"" + service
                + "\",\"maxAttempts\":2,\"allowAnonymous\":false" + more + "}";
    }

    /** The configuration with one route dropped. */
    public static String configWithout(long version, String path) {
        String all = config(version);
        int from = all.indexOf("{\"name\":\"r-" + path);
        int to = all.indexOf('}', from) + 1;
        return all.substring(0, from) + all.substring(to + 1);
    }

    public static String config(long version) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("lohu", "streaming", "assist-llm",
                        ",\"timeoutMs\":20000,\"targetLatencyMs\":500,\"sticky\":true,"
                                + "\"resumable\":true,\"targetGapMs\":200")
                + "," + route("puxa", "unsafe", "lending-app",
                        ",\"timeoutMs\":1000,\"targetLatencyMs\":193")
                + "," + route("cufi", "safe", "lending-app",
                        ",\"timeoutMs\":1000,\"targetLatencyMs\":193")
                + "],\"services\":[{\"name\":\"assist-llm\",\"healthPath\":\"/health\","
                + "\"maxConnections\":2256,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
                + "\"slots\":134,\"kvCapacityTokens\":69791,\"kvTokenBytes\":845373,"
                + "\"linkMbps\":480000.0,\"stride\":2,\"models\":[{\"name\":\"daka510000\","
                + "\"pace\":1.0,\"loadS\":14.0,\"warmS\":1.0}],\"step_ms\":0.85,"
                + "\"per_seq_ms\":0.0054,\"context_per_k\":0.0073,\"read_per_s\":196000.0,"
                + "\"usual\":{\"prompt\":772,\"answer\":174},\"layers\":80,\"layerMb\":1750.0,"
                + "\"activationBytes\":42268,\"pipeMbps\":11000.0,\"kinds\":[{\"name\":\"h100\","
                + "\"megabytes\":72000.0,\"pace\":1.4,\"readFactor\":1.0}]}},"
                + "{\"name\":\"lending-app\",\"healthPath\":\"/health\",\"maxConnections\":192,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"" + KEY + "\"]}]}";
    }

    /** A request with a body of some length. */
    public static byte[] request(
            String method, String path, String id, int deadlineMs, String more, int bodyBytes) {
        String text =
                method + " /" + path + "/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id
                        + "\r\nDeadline-Ms: " + deadlineMs + "\r\nX-Api-Key: " + KEY + "\r\n" + more
                        + (method.equals("POST") ? "Content-Length: " + bodyBytes + "\r\n" : "")
                        + "\r\n" + (method.equals("POST") ? "b".repeat(bodyBytes) : "");
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
