package lab;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Four times, the connections that are open between the daemons and the platform's store go silent,
 * while new ones work. 0.3 s later the store acknowledges a configuration without one route. Rule CONFIG: a
 * request sent later than configApplyMs (2,000) after that, by a machine in touch again (3,000 after
 * the disruption), is run on the dropped route.
 */
public final class SilentConnections {
    private static final int DAEMONS = 12;
    private static final long CONFIG_APPLY_MS = 2000;

    /** Times between the last change before and the silence; one for each round. */
    private static final int[] SILENT_AFTER_MS = {3000, 4000, 5000, 6000};

    private static final long STABLE_WINDOW_MS = 3000;

    public static void main(String[] arguments) throws Exception {
        Path folder = Lab.open(arguments[0]);
        Site site = new Site(Lab.ip(250));
        SilentProxy proxy = new SilentProxy(Lab.ip(250), site.store.address());
        List<Daemon> daemons = new ArrayList<>();
        for (int i = 1; i <= DAEMONS; i++) {
            Daemon daemon = new Daemon("front-" + i, Lab.ip(i), "viseu-a", folder, proxy.address());
            daemon.start();
            daemons.add(daemon);
        }
        for (Daemon daemon : daemons) {
            if (!daemon.awaitReady(8000)) {
                System.exit(2);
            }
        }
        Thread.sleep(8000);
        AtomicInteger stale = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        long version = 8;
        for (int afterChangeMs : SILENT_AFTER_MS) {
            site.store.put("config", "main", Site.config(version++));
            Thread.sleep(afterChangeMs);
            for (Daemon daemon : daemons) {
                Http.Message answer = send(daemon, "before-" + version + "-" + daemon.node);
                if (answer == null || answer.status() != 200) {
                    Lab.say("%s does not serve before the disruption", daemon.node);
                    System.exit(2);
                }
            }
            long silentNs = System.nanoTime();
            if (Lab.trouble()) {
                Lab.say("%d open connections to the store go silent", proxy.silence());
            }
            Thread.sleep(300);
            site.store.put("config", "main", Site.configWithout(version, "puxa"));
            long ackNs = System.nanoTime();
            Lab.say("version %d, without the route puxa, is acknowledged", version++);
            List<Thread> threads = new ArrayList<>();
            String round = afterChangeMs + "-";
            for (Daemon daemon : daemons) {
                Thread thread =
                        new Thread(() -> ask(site, daemon, round, silentNs, ackNs, stale, sent));
                thread.start();
                threads.add(thread);
            }
            for (Thread thread : threads) {
                thread.join();
            }
            Lab.say("run on the dropped route so far: %d", stale.get());
        }
        boolean broken = stale.get() > 0;
        Lab.say(
                "requests sent later than the bounds: %d, run on the dropped route: %d; %s",
                sent.get(), stale.get(), broken ? "BROKEN" : "held");
        System.exit(broken ? 1 : 0);
    }

    private static Http.Message send(Daemon daemon, String id) {
        try (Client client = new Client(daemon.ip, daemon.front)) {
            return client.send(Site.request("POST", "puxa", id, 1000, "", 600), 1500);
        } catch (Exception e) {
            return null;
        }
    }

    /** Asks on the dropped route for six seconds. */
    private static void ask(
            Site site,
            Daemon daemon,
            String round,
            long silentNs,
            long ackNs,
            AtomicInteger stale,
            AtomicInteger sent) {
        for (int i = 0; System.nanoTime() - ackNs < 6_000_000_000L; i++) {
            long sentNs = System.nanoTime();
            double afterSilenceMs = (sentNs - silentNs) / 1e6;
            double afterAckMs = (sentNs - ackNs) / 1e6;
            String id = round + daemon.node + "-" + i;
            Http.Message answer = send(daemon, id);
            boolean ran = site.apps.stream().anyMatch(app -> app.runs.containsKey(id));
            // 50 ms more than the bounds, for the clocks of this program.
            boolean inTouch = !Lab.trouble() || afterSilenceMs > STABLE_WINDOW_MS + 50;
            boolean bound = inTouch && afterAckMs > CONFIG_APPLY_MS + 50;
            if (bound) {
                sent.incrementAndGet();
                if (ran) {
                    stale.incrementAndGet();
                }
            }
            Lab.record(
                    "%s: %.0f ms after the silence began, %.0f ms after the acknowledgement: %s, %s%s",
                    id, afterSilenceMs, afterAckMs, answer == null ? "no answer" : answer.first,
                    ran ? "run" : "not run", bound && ran ? ": the rule is broken" : "");
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
