package org.amaranthpick.tools;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.amaranthpick.server.log.ShutdownSafeLogManager;
import org.amaranthpick.tools.demo.DemoCommand;
import org.amaranthpick.tools.demo.SoakCommand;
import org.amaranthpick.tools.demo.StandInsCommand;

/** Entry point of the program: one command class per command. */
@com.github.rvesse.airline.annotations.Cli(
        name = "amaranthpick",
        description = "Router for language-model pipelines over mixed accelerators",
        defaultCommand = HelpCommand.class,
        commands = {
            HelpCommand.class,
            ServeCommand.class,
            ValidateCommand.class,
            DiffCommand.class,
            ApplyCommand.class,
            StatusCommand.class,
            ExperimentCommand.class,
            ExplainCommand.class,
            CutsCommand.class,
            DrainCommand.class,
            DemoCommand.class,
            SoakCommand.class,
            StandInsCommand.class
        })
public final class Main {
    private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";
    private static final String VERBOSE = "--verbose";

    private Main() {}

    /**
     * Runs one command and exits with its code.
     *
     * @param args command and its options
     */
    public static void main(String[] args) {
        System.setProperty(LOG_MANAGER_PROPERTY, ShutdownSafeLogManager.class.getName());
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
        LogSetup.install(printsDecisions(args));
        System.exit(run(args, out, err));
    }

    /**
     * Runs one command.
     *
     * @param args command and its options
     * @param out takes results
     * @param err takes faults, each with its remedy
     * @return exit code, see {@link ExitCode}
     */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        try {
            return new Cli<Command>(Main.class).parse(args).run(out, err);
        } catch (ParseException e) {
            err.println(e.getMessage() + "; see amaranthpick help");
            return ExitCode.USAGE;
        } catch (CommandException e) {
            err.println(e.getMessage());
            return e.exitCode();
        }
    }

    private static boolean printsDecisions(String[] args) {
        boolean serving = args.length > 0 && args[0].equals("serve");
        return serving || List.of(args).contains(VERBOSE);
    }
}
