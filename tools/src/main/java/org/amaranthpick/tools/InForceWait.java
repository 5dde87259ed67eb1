package org.amaranthpick.tools;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Waits until a generation is in force on every live daemon and names the laggards. */
final class InForceWait {
    private static final Duration PAUSE = Duration.ofMillis(250);

    private final OperatorOptions mDaemon;
    private final Duration mPatience;

    InForceWait(OperatorOptions daemon, Duration patience) {
        mDaemon = daemon;
        mPatience = patience;
    }

    int until(long generation, PrintStream out, PrintStream err) {
        long endNs = System.nanoTime() + mPatience.toNanos();
        JsonNode status = ask(generation);
        while (!status.path("everywhere").asBoolean() && System.nanoTime() < endNs) {
            LockSupport.parkNanos(PAUSE.toNanos());
            status = ask(generation);
        }
        if (status.path("everywhere").asBoolean()) {
            out.println("in force on all " + status.path("live").asInt() + " live daemons");
            return ExitCode.OK;
        }
        err.println("accepted, not in force yet on: " + status.path("laggards"));
        err.println("failure domains that did not answer: " + status.path("unanswered"));
        return ExitCode.NOT_IN_FORCE;
    }

    private JsonNode ask(long generation) {
        try {
            return new JsonMapper().readTree(mDaemon.ask("GET", "/in-force/" + generation).body());
        } catch (JsonProcessingException e) {
            throw new CommandException(
                    ExitCode.UNKNOWN, "accepted; the daemon's answer on the spread is unreadable");
        }
    }
}
