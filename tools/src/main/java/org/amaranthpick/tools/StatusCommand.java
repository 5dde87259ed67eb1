package org.amaranthpick.tools;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.github.rvesse.airline.annotations.AirlineModule;
import java.io.PrintStream;
import org.amaranthpick.server.operator.DaemonStatus;

/** Prints the status of one daemon. */
@com.github.rvesse.airline.annotations.Command(
        name = "status",
        description = "Print the status of a daemon")
public final class StatusCommand implements Command {
    @AirlineModule private OperatorOptions mDaemon = new OperatorOptions();

    @Override
    public int run(PrintStream out, PrintStream err) {
        String body = mDaemon.ask("GET", "/status").body();
        try {
            out.print(StatusReport.text(new JsonMapper().readValue(body, DaemonStatus.class)));
            return ExitCode.OK;
        } catch (JsonProcessingException e) {
            err.println("the status cannot be read; use the daemon's own version of the program");
            return ExitCode.UNKNOWN;
        }
    }
}
