package org.amaranthpick.tools.experiment;

import java.util.List;
import java.util.Locale;

/** Table of the results of several runs. */
public final class ExperimentReport {
    private ExperimentReport() {}

    /**
     * Writes the table.
     *
     * @param results results, in the order of the rows
     * @return lines, each ended
     */
    public static String table(List<ExperimentResult> results) {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "%-13s %-18s %8s %6s %6s %7s %6s %7s %6s %9s %9s %9s %5s%n",
                        "pattern",
                        "policy",
                        "requests",
                        "worth",
                        "worst",
                        "on time",
                        "late",
                        "refused",
                        "broken",
                        "first ms",
                        "99 % ms",
                        "put back",
                        "loads"));
        results.forEach(result -> text.append(row(result)));
        return text.toString();
    }

    private static String row(ExperimentResult r) {
        return String.format(
                Locale.ROOT,
                "%-13s %-18s %8d %6.3f %6.3f %7.3f %6.3f %7.3f %6.3f %9d %9d %9d %5d%n",
                r.pattern().label(),
                r.policy().label(),
                r.requests(),
                r.worth(),
                r.worstWorth(),
                r.onTime(),
                r.late(),
                r.refused(),
                r.broken(),
                r.firstEventMs(),
                r.firstEvent99Ms(),
                r.preemptions(),
                r.loads());
    }
}
