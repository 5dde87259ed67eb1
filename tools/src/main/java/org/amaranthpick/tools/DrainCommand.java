package org.amaranthpick.tools;

import com.github.rvesse.airline.annotations.AirlineModule;
import java.io.PrintStream;
import org.amaranthpick.tools.client.CommandClient;

/** Starts the graceful shutdown of one daemon. */
@com.github.rvesse.airline.annotations.Command(
        name = "drain",
        description = "Start the graceful shutdown of a daemon")
public final class DrainCommand implements Command {
    @AirlineModule private OperatorOptions mDaemon = new OperatorOptions();

    @Override
    public int run(PrintStream out, PrintStream err) {
        CommandClient.Answer answer = mDaemon.ask("POST", "/drain");
        out.print(answer.body());
        return answer.status() == 202 ? ExitCode.OK : ExitCode.REFUSED;
    }
}
