package org.amaranthpick.tools;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.amaranthpick.tools.client.CommandClient;

/** Prints the decisions on one request or resource. */
@com.github.rvesse.airline.annotations.Command(
        name = "explain",
        description = "Print the decisions on a request or resource")
public final class ExplainCommand implements Command {
    @AirlineModule private OperatorOptions mDaemon = new OperatorOptions();

    @Option(
            name = "--log",
            description = "Log file of a gateway to read instead of asking; - for standard input.")
    private String mLog;

    @Arguments(title = "SUBJECT", description = "Request id, or key such as FLEET/upstream/NAME")
    @Required
    private String mSubject;

    @Override
    public int run(PrintStream out, PrintStream err) {
        return mLog == null ? ask(out, err) : read(out, err);
    }

    private int read(PrintStream out, PrintStream err) {
        LogExplanation explanation = new LogExplanation(mSubject);
        try (BufferedReader lines = open()) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                explanation.take(line);
            }
        } catch (IOException e) {
            err.println("log " + mLog + " cannot be read: " + e.getMessage());
            return ExitCode.USAGE;
        }
        explanation.lines().forEach(out::println);
        if (explanation.lines().isEmpty()) {
            err.println(mSubject + " is not in this log; try that of another daemon");
            return ExitCode.REFUSED;
        }
        return ExitCode.OK;
    }

    private BufferedReader open() throws IOException {
        return mLog.equals("-")
                ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
                : Files.newBufferedReader(Path.of(mLog));
    }

    private int ask(PrintStream out, PrintStream err) {
        CommandClient.Answer answer = mDaemon.ask("GET", "/explain/" + mSubject);
        if (answer.status() == 404) {
            err.println(mSubject + " is unknown here; ask the daemon that the request id names");
            return ExitCode.REFUSED;
        }
        try {
            for (JsonNode entry : new JsonMapper().readTree(answer.body())) {
                out.println(
                        entry.path("at").asText()
                                + " "
                                + entry.path("kind").asText()
                                + ": "
                                + entry.path("text").asText());
            }
            return ExitCode.OK;
        } catch (JsonProcessingException e) {
            err.println("the answer cannot be read; use the daemon's own version of the program");
            return ExitCode.UNKNOWN;
        }
    }
}
