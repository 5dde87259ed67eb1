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
import org.amaranthpick.platform.standin.ReceivedResponse;
import org.amaranthpick.platform.standin.StandInCaller;

/** Case 11: more clients with kept connections, whose answers are large; rule LOST. */
public final class KeptAnswers {
    private static final int DAEMONS = 2;
    private static final int CALLERS_PER_DAEMON = 55;

    /** Callers that come with the burst, 0.7 times those of before. */
    private static final int MORE_CALLERS = 38;

    private static final int ANSWER_BYTES = 1_000_000;
    private static final long PAUSE_MS = 1500;
    private static final long BURST_MS = 12_000;
    private static final long WORK_MS = 300;

    /** Deadline of the clients and timeout of the route. */
    private static final long TIME_LIMIT_MS = 20_000;

    /** The rule: "more than three times". */
    private static final int ALLOWED = 3;

    private record Sent(
            String id, int daemon, boolean kept, long sentMs, long endMs, int status, boolean whole) {}

    private final List<Sent> mSent = new CopyOnWriteArrayList<>();
    private final List<String> mNotes = new CopyOnWriteArrayList<>();
    private final long mStartMs = System.currentTimeMillis();
    private volatile boolean mEnd;

    public static void main(String[] args) throws Exception {
        int code = 2;
        try {
            code = new KeptAnswers().run(
                    Path.of(args[0]), Path.of(args[1]), args[2].equals("1"));
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private int run(Path record, Path folder, boolean trouble) throws Exception {
        List<LabDaemon> daemons = new ArrayList<>();
        List<LabEngine> engines = new ArrayList<>();
        try (LabStore store = new LabStore()) {
            store.put("config", "main", configuration());
            for (int i = 0; i < 2; i++) {
                engines.add(new LabEngine("s-" + i, WORK_MS, ANSWER_BYTES));
                store.put("servers", "s-" + i, engines.get(i).entry("app", "z0"));
            }
            for (int i = 0; i < DAEMONS; i++) {
                daemons.add(new LabDaemon(folder, i, "z" + i, store.address()));
                daemons.get(i).start();
            }
            for (LabDaemon daemon : daemons) {
                if (!daemon.awaitReady(30_000)) {
                    System.out.println(daemon.name() + " isn't ready in time");
                    return 2;
                }
            }
            Thread.sleep(4000);
            for (int d = 0; d < DAEMONS; d++) {
                keepRunning(daemons.get(d));
                for (int c = 0; c < CALLERS_PER_DAEMON; c++) {
                    call(daemons.get(d).front(), d, c);
                }
            }
            Thread.sleep(12_000);
            if (trouble) {
                note("burst: " + MORE_CALLERS + " more callers for each daemon");
                for (int d = 0; d < DAEMONS; d++) {
                    for (int c = 0; c < MORE_CALLERS; c++) {
                        call(daemons.get(d).front(), d, CALLERS_PER_DAEMON + c);
                    }
                }
            }
            Thread.sleep(BURST_MS);
            mEnd = true;
            Set<String> run = new HashSet<>();
            engines.forEach(engine -> run.addAll(engine.run()));
            return write(record, trouble, run);
        } finally {
            mEnd = true;
            daemons.forEach(LabDaemon::close);
            engines.forEach(LabEngine::close);
        }
    }

    private static String configuration() {
        return "{\"version\":1,\"routes\":[{\"name\":\"get\",\"host\":\"h.example\","
                + "\"pathPrefix\":\"/get/\",\"kind\":\"safe\",\"timeoutMs\":" + TIME_LIMIT_MS
                + ",\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"app\","
                + "\"maxAttempts\":1,\"allowAnonymous\":false}],\"services\":[{\"name\":\"app\","
                + "\"healthPath\":\"/health\",\"maxConnections\":200}],\"limits\":{"
                + "\"maxHeaderBytes\":16384,\"maxBodyBytes\":100000,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"school\",\"apiKeys\":"
                + "[\"key-1\"],\"priority\":1}]}";
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
                try (StandInCaller client = new StandInCaller(address, Duration.ofMillis(TIME_LIMIT_MS + 1000))) {
                    boolean open = true;
                    for (boolean kept = false; open && !mEnd; kept = true) {
                        String id = "d" + daemon + "c" + caller + "n" + number++;
                        long sentMs = now();
                        ReceivedResponse response =
                                client.send("GET", "/get/x", id, "key-1", Duration.ofMillis(TIME_LIMIT_MS));
                        if (!mEnd) {
                            mSent.add(new Sent(id, daemon, kept, sentMs, now(), response.status(),
                                    response.complete()));
                        }
                        open = response.complete() && !response.closesConnection();
                        Thread.sleep((long) (Math.random() * 2 * PAUSE_MS));
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

    /** Judges by the rule LOST, "at any time", and writes the record. */
    private int write(Path record, boolean trouble, Set<String> run) throws IOException {
        int[] asked = new int[DAEMONS];
        int[] lost = new int[DAEMONS];
        List<String> cut = new ArrayList<>();
        for (Sent sent : mSent) {
            asked[sent.daemon()]++;
            boolean early = sent.endMs() - sent.sentMs() < TIME_LIMIT_MS;
            if (sent.kept() && sent.status() == 0 && early && run.contains(sent.id())) {
                lost[sent.daemon()]++;
                cut.add(String.format("%7.3f s  safe request %s, sent at %.3f s on a kept"
                                + " connection to daemon %d, run by a sound engine: the connection"
                                + " ends without an answer",
                        sent.endMs() / 1000.0, sent.id(), sent.sentMs() / 1000.0, sent.daemon()));
            }
        }
        boolean broken = false;
        List<String> text = new ArrayList<>();
        text.add("trouble=" + (trouble ? 1 : 0));
        for (int d = 0; d < DAEMONS; d++) {
            broken |= lost[d] > ALLOWED;
            text.add("daemon " + d + ": " + asked[d] + " requests, " + lost[d]
                    + " run by a sound engine and not answered"
                    + (lost[d] > ALLOWED ? "; LOST is broken" : ""));
        }
        text.addAll(mNotes);
        text.addAll(cut);
        Files.write(record, text);
        text.forEach(System.out::println);
        return broken ? 1 : mSent.isEmpty() ? 2 : 0;
    }
}
