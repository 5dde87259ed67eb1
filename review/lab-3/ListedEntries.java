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

/** Case 13: entries of another writer, and then a restart of all daemons; rule RECOVER. */
public final class ListedEntries {
    private static final int DAEMONS = 2;
    private static final int CALLERS_PER_DAEMON = 8;
    private static final int ENTRIES = 70;
    private static final int ENTRY_BYTES = 1_000_000;
    private static final long BETWEEN_ENTRIES_MS = 500;
    private static final long PAUSE_MS = 200;
    private static final long RECOVERY_MS = 12_000;
    private static final long JUDGED_MS = 12_000;
    private static final long WORK_MS = 60;

    /** Deadline of the clients and timeout of the route. */
    private static final long TIME_LIMIT_MS = 4_000;

    private record Sent(
            String id, int daemon, boolean kept, long sentMs, long endMs, int status, boolean whole) {}

    private final List<Sent> mSent = new CopyOnWriteArrayList<>();
    private final List<String> mNotes = new CopyOnWriteArrayList<>();
    private final long mStartMs = System.currentTimeMillis();
    private volatile boolean mEnd;
    private volatile long mKilledMs = Long.MAX_VALUE / 2;
    private volatile long mBackMs = Long.MAX_VALUE / 2;

    public static void main(String[] args) throws Exception {
        int code = 2;
        try {
            code = new ListedEntries().run(
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
                engines.add(new LabEngine("s-" + i, WORK_MS));
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
            Thread.sleep(3000);
            for (int i = 0; i < ENTRIES; i++) {
                if (trouble) {
                    store.put("servers", "series-" + i, series(i));
                }
                Thread.sleep(BETWEEN_ENTRIES_MS);
            }
            note(trouble
                    ? "another writer has written " + ENTRIES + " entries of "
                            + series(0).length() + " bytes"
                    : "nothing was written");
            Thread.sleep(3000);
            mKilledMs = now();
            note("all daemons are killed");
            daemons.forEach(daemon -> daemon.process().destroyForcibly());
            Thread.sleep(1200);
            mBackMs = now();
            Thread.sleep(RECOVERY_MS + JUDGED_MS);
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

    /** Returns an entry with no field that this kind has: a series of pairs of numbers. */
    private static String series(int number) {
        StringBuilder text = new StringBuilder("{\"series\":[[0," + number + "]");
        for (int i = 1; text.length() < ENTRY_BYTES; i++) {
            text.append(",[").append(i % 1000).append(',').append(i % 7).append(']');
        }
        return text.append("]}").toString();
    }

    private long now() {
        return System.currentTimeMillis() - mStartMs;
    }

    private void note(String text) {
        mNotes.add(String.format("%7.3f s  %s", now() / 1000.0, text));
    }

    /** Starts a process again 1 s after its end, as the platform does. */
    private void keepRunning(LabDaemon daemon) {
        background(() -> {
            while (!mEnd) {
                int code = daemon.process().waitFor();
                if (mEnd) {
                    return;
                }
                note(daemon.name() + " ended with code " + code + ": "
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
                    mSent.add(new Sent("none", daemon, false, now(), now(), 0, false));
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

    /** Judges by the rule RECOVER and writes the record. */
    private int write(Path record, boolean trouble, Set<String> run) throws IOException {
        int before = 0;
        int servedBefore = 0;
        int after = 0;
        int servedAfter = 0;
        for (Sent sent : mSent) {
            boolean served = sent.status() == 200 && sent.whole();
            if (sent.endMs() < mKilledMs) {
                before++;
                servedBefore += served ? 1 : 0;
            } else if (sent.sentMs() > mBackMs + RECOVERY_MS) {
                after++;
                servedAfter += served ? 1 : 0;
            }
        }
        boolean broken = 4 * servedBefore >= before && 4 * servedAfter < after;
        List<String> text = new ArrayList<>();
        text.add("trouble=" + (trouble ? 1 : 0) + "; " + run.size() + " requests run by engines");
        text.add("before all daemons were killed: " + before + " requests, " + servedBefore
                + " served");
        text.add("sent later than 12 s after they were back: " + after + " requests, "
                + servedAfter + " served" + (broken ? "; RECOVER is broken" : ""));
        text.addAll(mNotes);
        Files.write(record, text);
        text.forEach(System.out::println);
        return broken ? 1 : before == 0 || after == 0 ? 2 : 0;
    }
}
