package org.amaranthpick.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Walks from a request's id to its cause in lines that daemons wrote. */
class LogExplanationTest {
    private static List<String> explain(String requestId) throws IOException {
        LogExplanation explanation = new LogExplanation(requestId);
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(
                                LogExplanationTest.class.getResourceAsStream("gateway.log"),
                                StandardCharsets.UTF_8))) {
            lines.lines().forEach(explanation::take);
        }
        return explanation.lines();
    }

    @ParameterizedTest
    @CsvSource({
        "fcf3f34c74e2dd2b,outcome=interrupted,10.3.64.31:8544 reason=\"Connection reset\"",
        "3811ef15db7a8b93,outcome=refused,10.1.64.43:8544 reason=\"no connection within 300 ms\"",
        "8a22bea0dbd0536c,outcome=broken,10.1.64.11:8009 reason=\"no connection within 300 ms\""
    })
    void theCauseStandsBesideTheOutcome(String requestId, String outcome, String cause)
            throws IOException {
        List<String> lines = explain(requestId);
        assertTrue(lines.get(lines.size() - 1).contains(outcome), lines.toString());
        assertTrue(lines.stream().anyMatch(line -> line.contains(cause)), lines.toString());
    }

    /** Other requests had met the same engine before: that belief is shown first. */
    @Test
    void earlierBeliefsAboutTheUpstreamAreShown() throws IOException {
        List<String> lines = explain("fcf3f34c74e2dd2b");
        assertTrue(lines.get(0).startsWith("    I health: upstream=i-5c37e3d6c0"), lines.get(0));
    }

    @Test
    void anUnknownRequestHasNoLines() throws IOException {
        assertEquals(List.of(), explain("0000"));
    }
}
