package org.amaranthpick.tools;

import java.io.PrintStream;

/** One command of the program. */
public interface Command {
    /**
     * Runs the command.
     *
     * @param out takes results
     * @param err takes faults, each with its remedy
     * @return exit code, see {@link ExitCode}
     */
    int run(PrintStream out, PrintStream err);
}
