package lab;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients whose bodies grow long, inside the configuration's maxBodyBytes (4,194,304). Rule DENIED:
 * more than 5 + one in 500 of all requests are ended with a 4xx of the daemon's own.
 */
public final class LongBodies {
    private static final int REQUESTS = 120;
    private static final int USUAL_BYTES = 600;
    private static final int LONG_BYTES = 2_500_000;

    public static void main(String[] arguments) throws Exception {
        Path folder = Lab.open(arguments[0]);
        Site site = new Site(Lab.ip(250));
        Daemon daemon =
                new Daemon("front-1", Lab.ip(1), "viseu-a", folder, site.store.address());
        daemon.start();
        if (!daemon.awaitReady(8000)) {
            System.exit(2);
        }
        Thread.sleep(4000);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger denied = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        for (int i = 0; i < REQUESTS; i++) {
            boolean isLong = Lab.trouble() && i % 2 == 1;
            int bytes = isLong ? LONG_BYTES : USUAL_BYTES;
            String id = "r" + i;
            String what;
            try (Client connection = new Client(daemon.ip, daemon.front)) {
                byte[] request = Site.request("POST", "puxa", id, 1000, "", bytes);
                Http.Message answer = connection.send(request, 3000);
                what = answer == null ? "no answer" : answer.first;
                if (answer != null && answer.status() == 200) {
                    served.incrementAndGet();
                } else if (answer != null && answer.status() / 100 == 4
                        && answer.header("Response-Seal") == null) {
                    denied.incrementAndGet();
                } else {
                    other.incrementAndGet();
                }
            } catch (Exception e) {
                what = e.toString();
                other.incrementAndGet();
            }
            int runs = site.apps.stream().mapToInt(app -> app.runs.containsKey(id) ? 1 : 0).sum();
            Lab.record("%s with a body of %d bytes: %s, runs %d", id, bytes, what, runs);
            Thread.sleep(100);
        }
        boolean broken = denied.get() > 5 + REQUESTS / 500;
        Lab.say(
                "requests %d: served %d, ended with a 4xx without an engine's seal %d, other %d; %s",
                REQUESTS, served.get(), denied.get(), other.get(), broken ? "BROKEN" : "held");
        System.exit(broken ? 1 : 0);
    }
}
