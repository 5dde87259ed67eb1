package org.amaranthpick.tools;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import org.amaranthpick.tools.client.CommandClient;

/** Prints the decisions on one request or resource. */
@com.github.rvesse.airline.annotations.Command(
        name = "explain",
        description = "Print the decisions on a request or resource")
public final class ExplainCommand implements Command {
    @AirlineModule private OperatorOptions mDaemon = new OperatorOptions();

    @Arguments(title = "SUBJECT", description = "Request id, or key such as FLEET/upstream/NAME")
    @Required
    private String mSubject;

    @Override
    public int run(PrintStream out, PrintStream err) {
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
