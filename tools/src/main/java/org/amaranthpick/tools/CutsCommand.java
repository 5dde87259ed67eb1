package org.amaranthpick.tools;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.amaranthpick.tools.CutCounts.Beside;

/** Prints how often connections ended without a whole answer beside planned work. */
@com.github.rvesse.airline.annotations.Command(
        name = "cuts",
        description = "Count the ends without a whole answer beside planned work, from logs")
public final class CutsCommand implements Command {
    private static final int PER_THOUSAND = 1000;

    @Option(
            name = "--reach-ms",
            description = "Time after a version came into force that is beside it, default 3000")
    private long mReachMs = 3000;

    @Option(name = "--grace-ms", description = "Grace of a stop, default 8000")
    private long mGraceMs = 8000;

    @Option(
            name = "--outcome",
            description = "Outcome that counts as well, such as interrupted or timeout")
    private List<String> mOutcomes = new ArrayList<>();

    @Option(name = "--ignore-stops", description = "Count ends beside a stop as if there were none")
    private boolean mIgnoreStops;

    @Arguments(title = "LOG", description = "Logs of one or several hosts; - for standard input")
    @Required
    private List<String> mLogs;

    @Override
    public int run(PrintStream out, PrintStream err) {
        CutCounts total = new CutCounts();
        CutReport.Reach reach = new CutReport.Reach(mReachMs, mGraceMs, !mIgnoreStops);
        out.println("requests/cuts (cuts per 1000 requests)");
        out.println(row("host", "configuration", "stop", "elsewhere", ""));
        for (String log : mLogs) {
            CutReport report = new CutReport(nameOf(log), reach, Set.copyOf(mOutcomes));
            try (BufferedReader lines = open(log)) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    report.take(line);
                }
            } catch (IOException e) {
                err.println("log " + log + " cannot be read: " + e.getMessage());
                return ExitCode.USAGE;
            }
            print(log, report, total, out);
        }
        out.println(row("all logs", total));
        return ExitCode.OK;
    }

    private static void print(String log, CutReport report, CutCounts total, PrintStream out) {
        CutCounts all = new CutCounts();
        out.println(log + " " + report.outcomes());
        report.forEachHost(
                (host, counts) -> {
                    out.println(row(host, counts));
                    all.add(counts);
                });
        out.println(row("all hosts", all));
        total.add(all);
    }

    private static String nameOf(String log) {
        Path name = Path.of(log).getFileName();
        return name == null ? log : name.toString();
    }

    /** Bytes that are no text, such as in a request's id, don't end the reading. */
    private static BufferedReader open(String log) throws IOException {
        return new BufferedReader(
                new InputStreamReader(
                        log.equals("-") ? System.in : Files.newInputStream(Path.of(log)),
                        StandardCharsets.UTF_8
                                .newDecoder()
                                .onMalformedInput(CodingErrorAction.REPLACE)
                                .onUnmappableCharacter(CodingErrorAction.REPLACE)));
    }

    private static String row(String host, CutCounts counts) {
        String mark = counts.isOverThreeTimes() ? "OVER THREE TIMES" : "";
        return row(
                host,
                cell(counts, Beside.CONFIGURATION),
                cell(counts, Beside.STOP),
                cell(counts, Beside.ELSEWHERE),
                counts.isKnown() ? mark : "no times: " + cell(counts, Beside.UNKNOWN));
    }

    private static String cell(CutCounts counts, Beside beside) {
        return String.format(
                Locale.ROOT,
                "%d/%d (%.2f)",
                counts.requests(beside),
                counts.cuts(beside),
                counts.rate(beside) * PER_THOUSAND);
    }

    private static String row(String host, String first, String second, String third, String mark) {
        return String.format(
                        Locale.ROOT, "%-24s %20s %20s %20s  %s", host, first, second, third, mark)
                .stripTrailing();
    }
}
