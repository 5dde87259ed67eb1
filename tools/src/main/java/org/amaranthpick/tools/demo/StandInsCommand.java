package org.amaranthpick.tools.demo;

import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.amaranthpick.tools.Command;
import org.amaranthpick.tools.ExitCode;

/** Runs the demo's stand-ins alone, for daemons in processes of their own. */
@com.github.rvesse.airline.annotations.Command(
        name = "stand-ins",
        description = "Run stand-ins of engines, services and the store; print their manifest")
public final class StandInsCommand implements Command {
    @Override
    public int run(PrintStream out, PrintStream err) {
        try (DemoPlatform platform = new DemoPlatform()) {
            err.println("store address: " + platform.store().address());
            for (DemoFleet fleet : platform.fleets()) {
                err.println(fleet.name() + " credential: " + fleet.credential());
            }
            out.println(platform.manifest());
            out.close();
            new CountDownLatch(1).await();
            return ExitCode.OK;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.OK;
        }
    }
}
