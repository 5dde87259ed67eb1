package org.amaranthpick.tools;

import com.github.rvesse.airline.annotations.Option;
import java.net.URI;
import java.util.Map;
import org.amaranthpick.tools.client.CommandClient;

/** Options of commands that ask one daemon. */
public final class OperatorOptions {
    private static final String ADDRESS = "AMARANTHPICK_OPERATOR_ADDRESS";
    private static final String TOKEN = "AMARANTHPICK_OPERATOR_TOKEN";

    @Option(name = "--operator-address", description = "IP:PORT of the daemon's operator listener.")
    private String mAddress = System.getenv(ADDRESS);

    @Option(name = "--operator-token", description = "Credential of operators.")
    private String mToken = System.getenv(TOKEN);

    /**
     * Asks the daemon.
     *
     * @param method HTTP method
     * @param path path
     * @return answer
     * @throws CommandException if an option lacks or no answer comes
     */
    CommandClient.Answer ask(String method, String path) {
        URI address = URI.create("http://" + required(mAddress, "--operator-address", ADDRESS));
        String token = required(mToken, "--operator-token", TOKEN);
        try (CommandClient client = new CommandClient()) {
            CommandClient.Answer answer = client.call(address, method, path, token, Map.of(), "");
            if (answer.status() == 401) {
                throw new CommandException(ExitCode.REFUSED, answer.body().strip());
            }
            return answer;
        }
    }

    private static String required(String value, String option, String variable) {
        if (value == null || value.isBlank()) {
            throw new CommandException(
                    ExitCode.USAGE, option + " is missing; give it or set " + variable);
        }
        return value;
    }
}
