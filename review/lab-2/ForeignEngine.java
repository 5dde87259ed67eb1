package lab;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of four model engines is lost for good, another one holds a redundant copy of layers, and all
 * processes of the daemons are killed and start again (final fault). The disruption: an entry of
 * another writer in the register, with fields missing, at an address where nobody listens. Rule
 * RECOVER. After the first review's OddEntry.
 */
public final class ForeignEngine {
    private static final int DAEMONS = 12;
    private static final int CLIENTS = 46;
    private static final double PER_S = 25;
    private static final int RECOVERY_S = 12;

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
        if (Lab.trouble()) {
            site.store.put("servers", "i-2d90", entry());
            Lab.say("the register holds an entry of another writer: %s", entry());
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
        Engine lost = site.models.get(0);
        lost.down = true;
        timer.schedule(() -> site.store.remove("servers", lost.id), 3600, TimeUnit.MILLISECONDS);
        Lab.say("engine %s is lost for good", lost.id);
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
                    .filter(line -> line.contains(" order: ") || line.contains("layers: service"))
                    .forEach(line -> Lab.say("log of %s: %s", daemon.node, line));
        }
        boolean before = SERVED[0].get() * 4 >= SENT[0].get() && SENT[0].get() > 0;
        boolean broken = before && SERVED[1].get() * 4 < SENT[1].get();
        Lab.say(
                "later than %d s after the machines are back: served %d of %d; %s",
                RECOVERY_S, SERVED[1].get(), SENT[1].get(), broken ? "BROKEN" : "held");
        System.exit(!before ? 2 : broken ? 1 : 0);
    }

    /** An entry without the fields version, coldRemainingMs, sequence and born. */
    private static String entry() {
        return "{\"service\":\"assist-llm\",\"address\":\""
                + Lab.ip(251)
                + ":8080\",\"zone\":\"viseu-a\",\"slots\":134,\"state\":\"ready\","
                + "\"kind\":\"h100\"}";
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
