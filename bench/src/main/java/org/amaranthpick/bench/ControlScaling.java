package org.amaranthpick.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amaranthpick.core.manifest.Manifest;

/**
 * Time until a generation is in force, and the cost of control per daemon, against the number of
 * daemons; as built and with the baseline of every daemon watching and pinging every other.
 */
public final class ControlScaling {
    private static final int[][] SIZES = {{12, 3}, {50, 5}, {150, 10}, {440, 10}};
    private static final Duration WARM_UP = Duration.ofSeconds(20);
    private static final Duration SETTLE = Duration.ofSeconds(90);
    private static final int CHANGES = 10;
    private static final int WORKSPACES = 100;
    private static final int UPSTREAMS = 40;
    private static final int MODELS = 4;

    private ControlScaling() {}

    /**
     * Prints the table.
     *
     * @param args none
     */
    public static void main(String[] args) {
        for (int[] size : SIZES) {
            measure(size[0], size[1], false);
        }
        for (int[] size : SIZES) {
            measure(size[0], size[1], true);
        }
    }

    private static void measure(int daemons, int domains, boolean baseline) {
        long heapBefore = usedBytes();
        ControlFleet fleet = new ControlFleet(daemons, domains, baseline);
        fleet.run(WARM_UP);
        fleet.publish(manifest(1));
        fleet.run(baseline ? WARM_UP : SETTLE);
        double heapKb = (usedBytes() - heapBefore) / 1e3 / daemons;
        Duration steady = Duration.ofSeconds(baseline ? 10 : 60);
        long callsBefore = fleet.store().calls();
        List<long[]> before = counters(fleet);
        long cpuBeforeNs = cpuNs();
        fleet.run(steady);
        double cpuMs = (cpuNs() - cpuBeforeNs) / 1e6 / steady.toSeconds() / daemons;
        double calls = (fleet.store().calls() - callsBefore) / (double) steady.toSeconds();
        Map<String, double[]> roles = rates(fleet, before, steady);
        List<Long> timesMs = new ArrayList<>();
        long changeCallsBefore = fleet.store().calls();
        long sentBefore = fleet.sentBytes();
        for (int i = 0; i < CHANGES; i++) {
            timesMs.addAll(fleet.publish(manifest(2 + i)));
        }
        double callsPerChange = (fleet.store().calls() - changeCallsBefore) / (double) CHANGES;
        double bytesPerChange = (fleet.sentBytes() - sentBefore) / (double) CHANGES / daemons;
        Collections.sort(timesMs);
        fleet.failTenth();
        List<Long> failedMs = fleet.publish(manifest(2 + CHANGES));
        System.out.printf(
                "%-9s %4d/%2d in force p50 %d max %d, with 10%% just failed max %d ms; cpu %.3f"
                        + " ms/s, heap %.0f kB per daemon; store %.2f calls/s, %d watches, %.1f"
                        + " calls per change; %.0f bytes sent per change and daemon%n",
                baseline ? "baseline" : "built",
                daemons,
                domains,
                timesMs.get(timesMs.size() / 2),
                timesMs.get(timesMs.size() - 1),
                failedMs.get(failedMs.size() - 1),
                cpuMs,
                heapKb,
                calls,
                fleet.store().watches(),
                callsPerChange,
                bytesPerChange);
        roles.forEach(ControlScaling::printRole);
    }

    private static void printRole(String role, double[] rates) {
        System.out.printf(
                "    %-14s x %3.0f: sent %6.1f msg/s %7.0f B/s, received %6.1f msg/s %7.0f B/s%n",
                role, rates[4], rates[0], rates[2], rates[1], rates[3]);
    }

    private static Map<String, double[]> rates(
            ControlFleet fleet, List<long[]> before, Duration time) {
        Map<String, double[]> roles = new TreeMap<>();
        for (int daemon = 0; daemon < before.size(); daemon++) {
            String role = fleet.daemons().get(daemon).role();
            double[] sums = roles.computeIfAbsent(role, key -> new double[5]);
            long[] now = counters(fleet.daemons().get(daemon));
            for (int i = 0; i < now.length; i++) {
                sums[i] += (now[i] - before.get(daemon)[i]) / (double) time.toSeconds();
            }
            sums[4]++;
        }
        for (double[] sums : roles.values()) {
            for (int i = 0; i < 4; i++) {
                sums[i] /= sums[4];
            }
        }
        return roles;
    }

    private static List<long[]> counters(ControlFleet fleet) {
        return fleet.daemons().stream().map(ControlScaling::counters).toList();
    }

    private static long[] counters(ControlDaemon daemon) {
        return new long[] {
            daemon.endpoint().sentMessages(),
            daemon.endpoint().receivedMessages(),
            daemon.endpoint().sentBytes(),
            daemon.endpoint().receivedBytes()
        };
    }

    private static Manifest manifest(int marker) {
        return TargetManifest.of(WORKSPACES, UPSTREAMS, MODELS, marker);
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static long cpuNs() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        return threads.getCurrentThreadCpuTime();
    }
}
