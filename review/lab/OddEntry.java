package lab;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All processes of the daemons are killed and start again (final fault). The disruption: one odd
 * entry of another writer in the register. Rule RECOVER. The second argument says which:
 *
 * <p>"layers": its layers are fractions, and too large. With and without it, an engine is lost for
 * good too; another one holds a redundant copy, which the daemons can move.
 *
 * <p>"bytes": one of its fields has bytes that can't be read.
 */
public final class OddEntry {
    private static final int DAEMONS = 12;
    private static final int CLIENTS = 46;
    private static final double PER_S = 25;
    private static final int RECOVERY_S = 12;
    private static final String OTHER_LAYERS =
            "\"layers\":{\"from\":60.5,\"to\":140000.0,\"version\":1},";

    private static final AtomicInteger[] SENT = {new AtomicInteger(), new AtomicInteger()};
    private static final AtomicInteger[] SERVED = {new AtomicInteger(), new AtomicInteger()};
    private static volatile int sPhase = -1;

    public static void main(String[] arguments) throws Exception {
        Path folder = Lab.open(arguments[0]);
        Site site = new Site(Lab.ip(250));
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        site.addModels();
        Engine copy = new Engine("i-llm90", Lab.ip(250), 1000, 0);
        site.models.add(copy);
        site.putModel(copy, 54, 80, Site.BORN);
        for (Engine engine : site.models) {
            engine.events = 40;
            engine.eventMs = 10;
            engine.onPlace =
                    (from, to) -> {
                        Lab.say("%s is ordered to hold layers %d to %d", engine.id, from, to);
                        timer.schedule(
                                () -> site.putModel(engine, from, to, Site.BORN),
                                14000L * (to - from) / 80,
                                TimeUnit.MILLISECONDS);
                    };
        }
        boolean layers = arguments[1].equals("layers");
        if (Lab.trouble() && layers) {
            site.store.put("servers", "i-2d90", entry("v1", OTHER_LAYERS));
            Lab.say("the register holds an entry with layers that are fractions, and too large");
        }
        List<Daemon> daemons = new ArrayList<>();
        for (int i = 1; i <= DAEMONS; i++) {
            daemons.add(
                    new Daemon("front-" + i, Lab.ip(i), "viseu-a", folder, site.store.address()));
        }
        if (!startAll(daemons, 20)) {
            System.exit(2);
        }
        sPhase = 0;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread thread = new Thread(() -> client(site, number, daemons));
            thread.setDaemon(true);
            thread.start();
        }
        Thread.sleep(10000);
        Lab.say("before: served %d of %d", SERVED[0].get(), SENT[0].get());
        sPhase = -1;
        if (layers) {
            Engine lost = site.models.get(0);
            lost.down = true;
            timer.schedule(
                    () -> site.store.remove("servers", lost.id), 3600, TimeUnit.MILLISECONDS);
            Lab.say("engine %s is lost for good", lost.id);
        } else if (Lab.trouble()) {
            byte[] text = entry("v#", "").getBytes(StandardCharsets.ISO_8859_1);
            for (int i = 0; i < text.length; i++) {
                text[i] = text[i] == '#' ? 1 : text[i];
            }
            site.store.putBytes("servers", "i-2d90", text);
            Lab.say("the register holds an entry with a byte 0x01 in its version");
        }
        Lab.say("all processes of the daemons are killed");
        for (Daemon daemon : daemons) {
            daemon.kill();
        }
        Thread.sleep(1000);
        Lab.say("they are back; all are ready: %s", startAll(daemons, 8));
        Thread.sleep(RECOVERY_S * 1000);
        sPhase = 1;
        for (int i = 0; i < 8; i++) {
            Thread.sleep(5000);
            Lab.say("served %d of %d", SERVED[1].get(), SENT[1].get());
        }
        sPhase = -1;
        Thread.sleep(1500);
        for (Daemon daemon : daemons) {
            Files.readAllLines(daemon.log()).stream()
                    .filter(line -> line.contains("task failed") || line.contains("store: lost"))
                    .forEach(line -> Lab.say("log of %s: %s", daemon.node, line));
        }
        boolean before = SERVED[0].get() * 4 >= SENT[0].get() && SENT[0].get() > 0;
        boolean broken = before && SERVED[1].get() * 4 < SENT[1].get();
        Lab.say(
                "later than %d s after the machines are back: served %d of %d; %s",
                RECOVERY_S, SERVED[1].get(), SENT[1].get(), broken ? "BROKEN" : "held");
        System.exit(!before ? 2 : broken ? 1 : 0);
    }

    /** An entry of another writer at an address where nobody listens. */
    private static String entry(String version, String layers) {
        return "{\"service\":\"assist-llm\",\"address\":\"" + Lab.ip(251) + ":8080\","
                + "\"zone\":\"viseu-a\",\"version\":\"" + version + "\",\"slots\":134,"
                + "\"state\":\"ready\",\"coldRemainingMs\":0,\"kind\":\"h100\"," + layers
                + "\"sequence\":1,\"born\":1700000000000}";
    }

    /** Starts all daemons; returns whether all became ready within some seconds. */
    private static boolean startAll(List<Daemon> daemons, long seconds) throws Exception {
        for (Daemon daemon : daemons) {
            daemon.start();
        }
        long endNs = System.nanoTime() + seconds * 1_000_000_000L;
        boolean all = true;
        for (Daemon daemon : daemons) {
            all &= daemon.awaitReady(Math.max(100, (endNs - System.nanoTime()) / 1_000_000));
        }
        return all;
    }

    private static void client(Site site, int number, List<Daemon> daemons) {
        for (int i = 0; ; i++) {
            try {
                Thread.sleep((long) (CLIENTS * 1000 / PER_S));
                int phase = sPhase;
                Daemon daemon = daemons.get((number + i) % daemons.size());
                String id = number + "-" + i;
                boolean plain = (number * 7 + i) % 9 == 0;
                String more =
                        "Model: daka510000\r\nToken-Counts: 760,80\r\nPrompt-Prefix: 5c1e07a2:40,"
                                + Integer.toHexString(id.hashCode()) + ":720\r\n";
                byte[] request =
                        plain
                                ? Site.request("POST", "puxa", id, 1000, "", 600)
                                : Site.request("POST", "lohu", id, 20001, more, 800);
                Http.Message answer;
                try (Client connection = new Client(daemon.ip, daemon.front)) {
                    answer = connection.send(request, 21000);
                } catch (Exception e) {
                    answer = null;
                }
                boolean served = answer != null && answer.complete && answer.status() == 200;
                boolean ran =
                        site.apps.stream().anyMatch(engine -> engine.runs.containsKey(id))
                                || site.models.stream()
                                        .anyMatch(engine -> engine.runs.containsKey(id));
                Lab.record(
                        "%s %s at %s: %s, %s", plain ? "unsafe" : "stream", id, daemon.node,
                        answer == null ? "no answer" : answer.first, ran ? "run" : "not run");
                if (phase >= 0) {
                    SENT[phase].incrementAndGet();
                    if (served) {
                        SERVED[phase].incrementAndGet();
                    }
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
