package org.amaranthpick.tools;

import com.github.rvesse.airline.annotations.AirlineModule;
import java.io.IOException;
import java.io.PrintStream;
import org.amaranthpick.server.daemon.Daemon;
import org.amaranthpick.server.daemon.Settings;
import org.amaranthpick.server.daemon.SettingsException;

/** Runs a daemon until it is told to stop; SIGTERM starts a graceful shutdown. */
@com.github.rvesse.airline.annotations.Command(
        name = "serve",
        description = "Run the daemon of this host")
public final class ServeCommand implements Command {
    @AirlineModule private SettingsOptions mOptions = new SettingsOptions();

    @Override
    public int run(PrintStream out, PrintStream err) {
        try {
            Settings settings = mOptions.read(System.getenv());
            Daemon daemon = Daemon.start(settings);
            out.println("serving callers on " + daemon.callerAddress());
            waitForDrain(daemon);
            return ExitCode.OK;
        } catch (SettingsException e) {
            err.println(e.getMessage());
            return ExitCode.USAGE;
        } catch (IOException e) {
            err.println("a listener cannot be opened: " + e.getMessage() + "; check the addresses");
            return ExitCode.USAGE;
        }
    }

    private static void waitForDrain(Daemon daemon) {
        Thread hook = new Thread(() -> shutDown(daemon), "amaranthpick-shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        daemon.drained().toCompletableFuture().join();
    }

    /** Ends the process with code 0, also after a signal, once nothing is in progress. */
    private static void shutDown(Daemon daemon) {
        daemon.drain().toCompletableFuture().join();
        daemon.close();
        Runtime.getRuntime().halt(ExitCode.OK);
    }
}
