package org.amaranthpick.bench.wave;

import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.HdrHistogram.Histogram;

/** Prints throughput against the bound, delays and fairness under a wave, for each policy. */
public final class WaveMeasure {
    private static final Logger sRoot = Logger.getLogger("");

    private WaveMeasure() {}

    /**
     * Runs the measurement.
     *
     * @param args offered load as a multiple of the bound (1.2), seconds (60), time between tokens
     *     that the window aims at in milliseconds (16)
     */
    public static void main(String[] args) {
        sRoot.setLevel(Level.WARNING);
        double load = args.length > 0 ? Double.parseDouble(args[0]) : 1.2;
        int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 60;
        int paceMs = args.length > 2 ? Integer.parseInt(args[2]) : 16;
        WaveRun.Trace trace = new WaveRun.Trace(load, 5, seconds, seconds / 3, paceMs);
        System.out.printf(
                Locale.ROOT,
                "%-12s %-6s %7s | urgent first ms %6s %6s %6s | between %5s %5s | batch first %7s |"
                        + " between %5s %5s | fairness%n",
                "policy",
                "gate",
                "share",
                "p50",
                "p95",
                "p99",
                "p95",
                "p99",
                "p95",
                "p95",
                "p99");
        for (boolean useWindow : new boolean[] {true, false}) {
            for (WaveDaemon.Policy policy : WaveDaemon.Policy.values()) {
                print(policy, useWindow, new WaveRun(policy, useWindow, trace).run());
            }
        }
    }

    private static void print(WaveDaemon.Policy policy, boolean useWindow, WaveRun.Result result) {
        System.out.printf(
                Locale.ROOT,
                "%-12s %-6s %7.3f | %15s %6d %6d %6d | %7s %5d %5d | %11s %7d | %7s %5d %5d | %.3f%n",
                policy,
                useWindow ? "window" : "open",
                result.shareOfBound(),
                "",
                at(result.mUrgentFirstMs, 50),
                at(result.mUrgentFirstMs, 95),
                at(result.mUrgentFirstMs, 99),
                "",
                at(result.mUrgentBetweenMs, 95),
                at(result.mUrgentBetweenMs, 99),
                "",
                at(result.mBatchFirstMs, 95),
                "",
                at(result.mBatchBetweenMs, 95),
                at(result.mBatchBetweenMs, 99),
                fairness(result));
    }

    private static long at(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile);
    }

    /** Jain's index over the batch workspaces, of which one offers five times as much. */
    private static double fairness(WaveRun.Result result) {
        double sum = 0;
        double squares = 0;
        int count = 0;
        for (var entry : result.mTokensByWorkspace.entrySet()) {
            if (entry.getKey().startsWith("batch")) {
                sum += entry.getValue();
                squares += (double) entry.getValue() * entry.getValue();
                count++;
            }
        }
        return sum * sum / (count * squares);
    }
}
