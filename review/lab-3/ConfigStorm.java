import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.amaranthpick.platform.standin.EngineStandIn;
import org.amaranthpick.platform.standin.ReceivedResponse;
import org.amaranthpick.platform.standin.StandInCaller;

/** Case 12: versions of a large configuration in quick succession; rule LOST. */
public final class ConfigStorm {
    private static final int DAEMONS = 12;
    private static final int CALLERS_PER_DAEMON = 4;
    private static final int ROUTES = 2800;
    private static final int VERSIONS_PER_STORM = 25;
    /** Pause between two versions, by storm. */
    private static final long[] GAPS_MS = {60, 70, 60, 80};
        private static final long BETWEEN_STORMS_MS = 9000;
    private static final long CONFIG_APPLY_MS = 2000;
    private static final long TIME_LIMIT_MS = 10_000;
    private static final int LAYERS = 8;

    private record Sent(String id, int daemon, long sentMs, long endMs, int status, boolean whole) {}

    private record Window(long fromMs, long toMs) {}

    private final List<Sent> mSent = new CopyOnWriteArrayList<>();
    private final List<Window> mPlanned = new ArrayList<>();
    private final List<String> mNotes = new CopyOnWriteArrayList<>();
    private final long mStartMs = System.currentTimeMillis();
    private volatile boolean mEnd;

    public static void main(String[] args) throws Exception {
        int code = 2;
        try {
            code = new ConfigStorm().run(Path.of(args[0]), Path.of(args[1]), args[2].equals("1"));
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private int run(Path record, Path folder, boolean trouble) throws Exception {
        List<LabDaemon> daemons = new ArrayList<>();
        List<EngineStandIn> engines = new ArrayList<>();
        try (LabStore store = new LabStore()) {
            store.put("config", "main", configuration(1));
            for (int i = 0; i < 2; i++) {
                EngineStandIn engine = new EngineStandIn("e-" + i);
                engine.setEventCount(250);
                engines.add(engine);
                store.put("servers", "e-" + i, entry(engine));
            }
            for (int i = 0; i < DAEMONS; i++) {
                daemons.add(new LabDaemon(folder, i, "z" + i % 3, store.address()));
            }
            for (LabDaemon daemon : daemons) {
                daemon.start();
            }
            for (LabDaemon daemon : daemons) {
                if (!daemon.awaitReady(30_000)) {
                    note(daemon.name() + " isn't ready in time");
                    write(record, trouble, Set.of(), store);
                    return 2;
                }
            }
            // The daemons count each other 1.3 to 2.5 s after their start.
            Thread.sleep(4000);
            for (int d = 0; d < DAEMONS; d++) {
                keepRunning(daemons.get(d));
                for (int c = 0; c < CALLERS_PER_DAEMON; c++) {
                    call(daemons.get(d).front(), d, c);
                }
            }
            Thread.sleep(5000);
            long version = 1;
            for (int storm = 0; storm < GAPS_MS.length; storm++) {
                int versions = trouble ? VERSIONS_PER_STORM : 1;
                for (int i = 0; i < versions; i++) {
                    version++;
                    long sentMs = now();
                    store.put("config", "main", configuration(version));
                    mPlanned.add(new Window(sentMs, now() + CONFIG_APPLY_MS + 1000));
                    Thread.sleep(GAPS_MS[storm]);
                }
                note("versions up to " + version + " are acknowledged");
                Thread.sleep(BETWEEN_STORMS_MS);
            }
            Set<String> run = new HashSet<>();
            engines.forEach(engine -> run.addAll(engine.executedRequestIds()));
            mEnd = true;
            return write(record, trouble, run, store);
        } finally {
            mEnd = true;
            daemons.forEach(LabDaemon::close);
            engines.forEach(EngineStandIn::close);
        }
    }

    private long now() {
        return System.currentTimeMillis() - mStartMs;
    }

    private void note(String text) {
        mNotes.add(String.format("%7.3f s  %s", now() / 1000.0, text));
    }

    /** Starts a process again that ended by itself, as the platform does. */
    private void keepRunning(LabDaemon daemon) {
        background(() -> {
            while (!mEnd) {
                int code = daemon.process().waitFor();
                if (mEnd) {
                    return;
                }
                note(daemon.name() + " ended by itself with code " + code + ": "
                        + daemon.lastLine("Terminating"));
                Thread.sleep(1000);
                daemon.start();
            }
        });
    }

    private void call(URI address, int daemon, int caller) {
        background(() -> {
            int number = 0;
            while (!mEnd) {
                try (StandInCaller client = new StandInCaller(address, Duration.ofSeconds(12))) {
                    boolean open = true;
                    while (open && !mEnd) {
                        String id = "d" + daemon + "c" + caller + "n" + number++;
                        long sentMs = now();
                        ReceivedResponse response = client.send("POST", "/chat/x", id, "key-1",
                                Duration.ofMillis(TIME_LIMIT_MS));
                        if (!mEnd) {
                            mSent.add(new Sent(id, daemon, sentMs, now(), response.status(),
                                    response.complete()));
                        }
                        open = response.complete() && !response.closesConnection();
                    }
                } catch (IOException e) {
                    Thread.sleep(200);
                }
            }
        });
    }

    private interface Work {
        void run() throws Exception;
    }

    private void background(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                note("thread ended: " + e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Judges by the rule LOST, beside a configuration, and writes the record. */
    private int write(Path record, boolean trouble, Set<String> run, LabStore store)
            throws IOException {
        int[][] counts = new int[DAEMONS][4];
        List<String> cut = new ArrayList<>();
        for (Sent sent : mSent) {
            boolean planned = mPlanned.stream()
                    .anyMatch(w -> sent.endMs() >= w.fromMs() && sent.endMs() <= w.toMs());
            boolean counts7 = sent.endMs() - sent.sentMs() < 0.7 * TIME_LIMIT_MS;
            boolean lost = !sent.whole() && run.contains(sent.id()) && counts7;
            int[] of = counts[sent.daemon()];
            of[planned ? 0 : 2]++;
            of[planned ? 1 : 3] += lost ? 1 : 0;
            if (lost) {
                cut.add(String.format("%7.3f s  request %s, sent at %.3f s to daemon %d, run by an"
                                + " engine, ends without a complete answer (status %d)%s",
                        sent.endMs() / 1000.0, sent.id(), sent.sentMs() / 1000.0, sent.daemon(),
                        sent.status(), planned ? ", beside a configuration" : ""));
            }
        }
        boolean broken = false;
        List<String> text = new ArrayList<>();
        text.add("trouble=" + (trouble ? 1 : 0) + " daemons=" + DAEMONS + " routes=" + ROUTES
                + " bytes of a version=" + configuration(1).length()
                + " largest answer to a watch=" + store.largestReply());
        for (int d = 0; d < DAEMONS; d++) {
            int[] of = counts[d];
            double inside = (double) of[1] / Math.max(1, of[0]);
            double outside = (double) of[3] / Math.max(1, of[2]);
            boolean over = of[1] > 0 && inside > 3 * outside;
            broken |= over;
            text.add(String.format("daemon %d: beside a configuration %d requests, %d cut; at other"
                    + " times %d requests, %d cut%s", d, of[0], of[1], of[2], of[3],
                    over ? "; LOST is broken" : ""));
        }
        text.addAll(mNotes);
        text.addAll(cut);
        Files.write(record, text);
        text.forEach(System.out::println);
        return broken ? 1 : mSent.isEmpty() ? 2 : 0;
    }

    private static String entry(EngineStandIn engine) {
        return "{\"service\":\"llm\",\"address\":\"" + engine.address() + "\",\"zone\":\"z\","
                + "\"version\":\"v1\",\"slots\":60,\"state\":\"ready\",\"coldRemainingMs\":0,"
                + "\"kind\":\"card\",\"layers\":{\"from\":0,\"to\":" + LAYERS
                + ",\"version\":1},\"sequence\":1,\"born\":1}";
    }

    private static String configuration(long version) {
        StringBuilder routes = new StringBuilder(route("chat", "/chat/", "streaming", "llm"));
        for (int i = 0; i < ROUTES; i++) {
            routes.append(',').append(route("r-x" + i, "/idle" + i + "/2f/", "safe", "app"));
        }
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":"
                + "\"app\",\"maxConnections\":50},{\"name\":\"llm\",\"maxConnections\":500,"
                + "\"engine\":{\"layers\":" + LAYERS + ",\"layerMb\":100.0,\"kvTokenBytes\":8000,"
                + "\"slots\":60,\"step_ms\":1.0,\"usual\":{\"prompt\":100,\"answer\":50},"
                + "\"models\":[{\"loadS\":1.0}],\"loads_at_once\":3,\"kinds\":[{\"name\":\"card\","
                + "\"megabytes\":1000.0,\"pace\":1.0,\"readFactor\":1.0}]}}],\"limits\":{"
                + "\"maxHeaderBytes\":16384,\"maxBodyBytes\":100000,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"school\",\"apiKeys\":"
                + "[\"key-1\"],\"priority\":1}]}";
    }

    private static String route(String name, String prefix, String kind, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"pathPrefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeoutMs\":10000,\"targetLatencyMs\":500,"
                + "\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":2,"
                + "\"allowAnonymous\":false,\"sticky\":false,\"resumable\":"
                + kind.equals("streaming") + ",\"targetGapMs\":200}";
    }
}
