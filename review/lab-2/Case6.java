import java.io.IOException;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer puts large entries into the register, three times. Two daemons serve safe and
 * unsafe requests on kept connections meanwhile; nothing else is disturbed.
 */
final class Case6 {
    private static final int CLIENTS_PER_DAEMON = 12;
    private static final int ENTRIES = 6;

    /** Below valueBytes (1,048,576), with the metadata. */
    private static final int ENTRY_BYTES = 1_000_000;

    private static final Set<String> sReached = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger sNext = new AtomicInteger();
    private static final Map<String, AtomicInteger> sCut = new ConcurrentHashMap<>();
    private static final Map<String, AtomicInteger> sOutcomes = new ConcurrentHashMap<>();
    private static volatile boolean sStop;

    private Case6() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        Path temporary = Path.of(arguments[2]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Lab.open(folder);
        Lab.Store store = new Lab.Store();
        for (int i = 0; i < 3; i++) {
            Lab.Engine engine =
                    new Lab.Engine(
                            "i-app" + i,
                            "app",
                            (self, request, socket) -> {
                                sReached.add(request.id());
                                Lab.note("%s runs %s", self.id, request.id());
                                Lab.sleep(85);
                                Lab.reply(socket, 200, Lab.sealed(request), "done " + request.id());
                            });
            engine.slots = 12;
            engine.beat(store);
        }
        store.put(
                "config",
                "main",
                Lab.configuration(
                        1,
                        Lab.route("fetch", "safe", "app", 4000, 386)
                                + ","
                                + Lab.route("publish", "unsafe", "app", 4000, 386),
                        Lab.APP));
        List<Lab.Daemon> daemons = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            daemons.add(new Lab.Daemon(root, temporary, "front-" + i, "127.0.61." + i, "z", store));
        }
        Map<String, Integer> ends = new HashMap<>();
        for (Lab.Daemon daemon : daemons) {
            daemon.start();
            ends.put(daemon.node, 0);
            sCut.put(daemon.node, new AtomicInteger());
        }
        for (Lab.Daemon daemon : daemons) {
            daemon.awaitReady(30_000);
        }
        Lab.sleep(4000);
        for (Lab.Daemon daemon : daemons) {
            for (int i = 0; i < CLIENTS_PER_DAEMON; i++) {
                boolean unsafe = i % 2 == 0;
                Lab.start("client", () -> runClient(daemon, unsafe));
            }
        }
        Lab.sleep(4000);
        for (int burst = 1; burst <= 3; burst++) {
            if (trouble) {
                for (int i = 0; i < ENTRIES; i++) {
                    store.put("servers", "inventory-" + i, entry(burst));
                }
                Lab.log("burst %d: another writer wrote %d entries", burst, ENTRIES);
            }
            long until = System.nanoTime() + 10_000_000_000L;
            while (System.nanoTime() < until) {
                Lab.sleep(100);
                for (Lab.Daemon daemon : daemons) {
                    if (!daemon.process.isAlive()) {
                        ends.merge(daemon.node, 1, Integer::sum);
                        Lab.log(
                                "%s ended by itself, exit %d; it is started again in 1 s",
                                daemon.node, daemon.process.exitValue());
                        Lab.sleep(1000);
                        daemon.start();
                    }
                }
            }
        }
        sStop = true;
        Lab.sleep(1000);
        sOutcomes.forEach((outcome, count) -> Lab.log("%6d %s", count.get(), outcome));
        boolean broken = false;
        int machines = 0;
        for (Lab.Daemon daemon : daemons) {
            int cut = sCut.get(daemon.node).get();
            Lab.log(
                    "%s: %d requests of kept connections reached an engine and have no answer;"
                            + " ended by itself %d times",
                    daemon.node, cut, ends.get(daemon.node));
            broken |= cut > 3;
            machines += ends.get(daemon.node) >= 3 ? 1 : 0;
        }
        Lab.log("LOST %s", broken ? "broken" : "held");
        Lab.log("Fault (two machines, three ends each): %s", machines >= 2 ? "yes" : "no");
        for (Lab.Daemon daemon : daemons) {
            daemon.process.destroyForcibly().waitFor();
            for (String line : Files.readAllLines(temporary.resolve(daemon.node + ".log"))) {
                if (line.contains("OutOfMemory")) {
                    Lab.log("log of %s: %s", daemon.node, line);
                }
            }
        }
        System.exit(broken ? 1 : 0);
    }

    /** A list of small records: fields of an entry are missing, others are of no known kind. */
    private static String entry(int burst) {
        StringBuilder text = new StringBuilder("{\"service\":\"app\",\"inventory\":[");
        for (int i = 0; text.length() < ENTRY_BYTES - 40; i++) {
            text.append(i == 0 ? "" : ",").append("{\"id\":").append(i).append(",\"v\":0.5}");
        }
        return text.append("],\"burst\":").append(burst).append("}").toString();
    }

    private static void runClient(Lab.Daemon daemon, boolean unsafe) {
        Lab.Client client = null;
        int sent = 0;
        while (!sStop) {
            String id = (unsafe ? "u-" : "s-") + sNext.incrementAndGet();
            String outcome;
            try {
                if (client == null) {
                    client = new Lab.Client(daemon.front);
                    sent = 0;
                }
                client.socket.setSoTimeout(4000);
                Lab.note("%s sent to %s", id, daemon.node);
                client.send(
                        unsafe
                                ? Lab.head("POST", "/publish/n", id, 4000, "Content-Length: 2\r\n")
                                        + "hi"
                                : Lab.head("GET", "/fetch/p", id, 4000, ""));
                sent++;
                Lab.Answer answer = client.receive(false);
                outcome = (unsafe ? "unsafe: " : "safe: ") + answer;
                if (!answer.complete) {
                    boolean reached = sReached.contains(id);
                    outcome += reached ? ", reached an engine" : ", reached no engine";
                    if (reached && sent > 1 && !(answer.problem.contains("Timeout"))) {
                        sCut.get(daemon.node).incrementAndGet();
                        Lab.log(
                                "%s: request %s, number %d on its connection: %s",
                                daemon.node, id, sent, outcome);
                    }
                    client.close();
                    client = null;
                }
            } catch (SocketException e) {
                outcome = "no connection, or it was closed before the request was sent";
                client = null;
                Lab.sleep(100);
            } catch (IOException e) {
                outcome = e.toString();
                client = null;
                Lab.sleep(100);
            }
            Lab.note("%s: %s", id, outcome);
            sOutcomes.computeIfAbsent(outcome, key -> new AtomicInteger()).incrementAndGet();
            Lab.sleep(20);
        }
    }
}
