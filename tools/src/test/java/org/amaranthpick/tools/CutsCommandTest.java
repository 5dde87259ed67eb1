package org.amaranthpick.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Version 2 comes into force at 10 s; host a begins its stop at 30 s. */
class CutsCommandTest {
    private static final double CHANGE_S = 10;
    private static final double STOP_S = 30;

    @TempDir private Path mFolder;

    /** What stands before the text of a line. */
    private enum Prefix {
        BENCH("%10.4f host-a I "),
        DATED("2026-12-06T15:00:%06.3f INFO "),
        DATED_HOST("2026-12-06T15:00:%06.3fZ host-a I "),
        WITHOUT_HOST("%.4f I ");

        private final String mFormat;

        Prefix(String format) {
            mFormat = format;
        }

        String line(double atS, String text) {
            return String.format(Locale.ROOT, mFormat, atS) + text;
        }
    }

    private static String end(String outcome) {
        return "request: id=r1 outcome="
                + outcome
                + " route=r config=1 sends=1 elapsed_ms=380 detail=\"a config=9 outcome=x\"";
    }

    private static List<String> log(Prefix prefix, double endS, String... ends) {
        List<String> lines = new ArrayList<>();
        lines.add("built in 77.0 s; 66629 lines in 824 files");
        lines.add(prefix.line(0, "start: host=host-a domain=z callers=http://10.1.0.42:8128"));
        lines.add(prefix.line(0.1, "config: in force version=1 before=-1 routes=3"));
        List<String> late = new ArrayList<>();
        for (String end : ends) {
            late.add(prefix.line(endS, end));
        }
        String change = prefix.line(CHANGE_S, "config: in force version=2 before=1 routes=3");
        String stop = prefix.line(STOP_S, "stop: draining in_progress=9");
        if (endS < CHANGE_S) {
            lines.addAll(late);
        }
        lines.add(change);
        if (endS >= CHANGE_S && endS < STOP_S) {
            lines.addAll(late);
        }
        lines.add(stop);
        if (endS >= STOP_S) {
            lines.addAll(late);
        }
        return lines;
    }

    private Path write(String name, List<String> lines) throws IOException {
        return Files.write(mFolder.resolve(name), lines);
    }

    private String run(String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code =
                Main.run(
                        args,
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8));
        assertEquals(ExitCode.OK, code, () -> err.toString(StandardCharsets.UTF_8));
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String row(String output, String host) {
        return output.lines()
                .filter(line -> line.startsWith(host + " "))
                .findFirst()
                .orElseThrow()
                .substring(host.length())
                .strip()
                .replaceAll(" {2,}", " | ")
                .replaceAll(" \\([0-9.]+\\) ?", " ")
                .replaceAll(" +\\|", " |")
                .strip();
    }

    @ParameterizedTest
    @CsvSource({
        "9.9, 0/0 | 0/0 | 2/1",
        "10.0, 2/1 | 0/0 | 0/0 | OVER THREE TIMES",
        "13.0, 2/1 | 0/0 | 0/0 | OVER THREE TIMES",
        "13.1, 0/0 | 0/0 | 2/1",
        "29.9, 0/0 | 0/0 | 2/1",
        "30.0, 0/0 | 2/1 | 0/0",
        "39.0, 0/0 | 2/1 | 0/0",
        "39.1, 0/0 | 0/0 | 2/1"
    })
    void anEndIsBesideTheWorkWithinReach(double endS, String expected) throws IOException {
        Path log =
                write(
                        "a.log",
                        log(Prefix.BENCH, endS, end("attempt"), end("answered"), end("broken")));
        assertEquals(expected, row(run("cuts", log.toString()), "host-a"));
    }

    @ParameterizedTest
    @EnumSource(Prefix.class)
    void readsLinesWithTheirTimesInAnyForm(Prefix prefix) throws IOException {
        Path log = write("a.log", log(prefix, 12, end("answered"), end("gone")));
        assertEquals(
                "2/1 | 0/0 | 0/0 | OVER THREE TIMES", row(run("cuts", log.toString()), "host-a"));
    }

    @ParameterizedTest
    @CsvSource({
        "answered, 1/0",
        "refused, 1/0",
        "rejected, 1/0",
        "timeout, 1/0",
        "interrupted, 1/0",
        "broken, 1/1",
        "gone, 1/1",
        "attempt, 0/0",
        "unread, 0/0"
    })
    void anEndIsACutByItsOutcome(String outcome, String expected) throws IOException {
        Path log = write("a.log", log(Prefix.BENCH, 20, end(outcome)));
        assertEquals("0/0 | 0/0 | " + expected, row(run("cuts", log.toString()), "host-a"));
    }

    @Test
    void furtherOutcomesCountIfAskedFor() throws IOException {
        Path log = write("a.log", log(Prefix.BENCH, 20, end("timeout"), end("interrupted")));
        assertEquals(
                "0/0 | 0/0 | 2/1",
                row(run("cuts", "--outcome", "timeout", log.toString()), "host-a"));
    }

    @ParameterizedTest
    @CsvSource({
        "answered, 'reason=unwritten outcome=answered', 1/1",
        "broken, 'reason=failed outcome=broken', 1/1",
        "interrupted, 'reason=failed outcome=interrupted', 1/1",
        "attempt, 'reason=closed outcome=none', 1/1"
    })
    void aRequestThatIsFoundUnansweredLaterIsCountedOnce(
            String outcome, String fields, String expected) throws IOException {
        String later = "unanswered: id=r1 " + fields + " planned=none config_now=2 config_age_ms=9";
        Path log = write("a.log", log(Prefix.BENCH, 20, end(outcome), later));
        assertEquals("0/0 | 0/0 | " + expected, row(run("cuts", log.toString()), "host-a"));
    }

    @ParameterizedTest
    @CsvSource({"3000, 3000", "1000, 2000"})
    void theReachesAreOptions(String reachMs, String graceMs) throws IOException {
        Path log = write("a.log", log(Prefix.BENCH, 12.5, end("broken")));
        Path stop = write("b.log", log(Prefix.BENCH, 33.5, end("broken")));
        String[] args = {
            "cuts", "--reach-ms", reachMs, "--grace-ms", graceMs, log.toString(), stop.toString()
        };
        boolean reached = reachMs.equals("3000");
        assertEquals(
                reached ? "1/1 | 1/1 | 0/0 | OVER THREE TIMES" : "0/0 | 0/0 | 2/2",
                row(run(args), "all logs"));
    }

    /** A host that stops beside a configuration may have its cuts counted there. */
    @Test
    void stopsAreLeftOutOfAccountIfAskedFor() throws IOException {
        Path log = write("a.log", log(Prefix.BENCH, 31, end("broken"), end("answered")));
        assertEquals(
                "0/0 | 0/0 | 2/1", row(run("cuts", "--ignore-stops", log.toString()), "host-a"));
        assertEquals("0/0 | 2/1 | 0/0", row(run("cuts", log.toString()), "host-a"));
    }

    /** Three in a thousand are not over three times one in a thousand. */
    @ParameterizedTest
    @ValueSource(ints = {3, 4})
    void marksAHostThatCutsOverThreeTimesAsOften(int cuts) throws IOException {
        List<String> lines = new ArrayList<>(log(Prefix.BENCH, 20));
        for (int i = 0; i < 1000; i++) {
            String line = end(i < 1 ? "broken" : "answered");
            lines.add(2, "    0.2000 host-a I " + line);
        }
        for (int i = 0; i < 1000; i++) {
            int change = lines.size() - 1;
            lines.add(change, "   10.5000 host-a I " + end(i < cuts ? "broken" : "answered"));
        }
        String row = row(run("cuts", write("a.log", lines).toString()), "host-a");
        assertEquals(cuts == 4, row.endsWith("OVER THREE TIMES"), row);
        assertTrue(row.startsWith("1000/" + cuts + " | 0/0 | 1000/1"), row);
    }

    /** A host that lags is beside a version that is in force elsewhere; logs don't mix. */
    @Test
    void aVersionIsWithinReachOfAllHostsOfItsLog() throws IOException {
        List<String> lines =
                List.of(
                        "0.1 host-a I config: in force version=1 before=-1 routes=3",
                        "0.1 host-b I config: in force version=1 before=-1 routes=3",
                        "10.0 host-a I config: in force version=2 before=1 routes=3",
                        "10.5 host-b I " + end("broken"),
                        "12.9 host-b I config: in force version=2 before=1 routes=3",
                        "13.5 host-b I " + end("broken"));
        Path first = write("a.log", lines);
        Path second = write("b.log", List.of("10.5 host-b I " + end("broken")));
        String output = run("cuts", first.toString(), second.toString());
        assertEquals("1/1 | 0/0 | 1/1", row(output, "host-b"));
        assertEquals("1/1 | 0/0 | 2/2", row(output, "all logs"));
    }

    /** A daemon writes no times: only ends that name the age of the version have their place. */
    @Test
    void linesWithoutTimesGiveNoRate() throws IOException {
        List<String> lines =
                List.of(
                        "I start: host=host-a domain=z",
                        "I " + end("answered"),
                        "I " + end("broken") + " config_now=2 config_age_ms=312",
                        "I " + end("broken") + " config_now=2 config_age_ms=4000",
                        "I stop: draining in_progress=1",
                        "I " + end("answered"));
        assertEquals(
                "1/1 | 1/0 | 1/1 | no times: 1/0",
                row(run("cuts", write("a.log", lines).toString()), "host-a"));
    }

    @Test
    void aMissingLogIsAUsageFault() {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(err, true, StandardCharsets.UTF_8);
        String[] args = {"cuts", mFolder.resolve("none.log").toString()};
        assertEquals(ExitCode.USAGE, Main.run(args, stream, stream));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("cannot be read"));
    }
}
