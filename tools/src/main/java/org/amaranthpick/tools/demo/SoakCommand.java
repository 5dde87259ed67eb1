package org.amaranthpick.tools.demo;

import com.github.rvesse.airline.annotations.Option;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.amaranthpick.tools.Command;
import org.amaranthpick.tools.CommandException;
import org.amaranthpick.tools.ExitCode;
import org.amaranthpick.tools.client.CommandClient;

/** Runs callers against daemons and stand-ins that fail at random, and checks every promise. */
@com.github.rvesse.airline.annotations.Command(
        name = "soak",
        description = "Run callers against failing stand-ins and check every promise")
public final class SoakCommand implements Command {
    private static final int DAEMONS = 3;

    @Option(name = "--seconds", description = "Length of the run.")
    private int mSeconds = 30;

    @Option(name = "--callers", description = "Callers at once.")
    private int mCallers = 16;

    @Option(name = "--seed", description = "Seed of the callers' and faults' choices.")
    private long mSeed = 1;

    @Override
    public int run(PrintStream out, PrintStream err) {
        SoakTally tally = new SoakTally();
        try (DemoPlatform platform = new DemoPlatform();
                DemoDaemons daemons = new DemoDaemons(platform.store().address(), DAEMONS);
                CommandClient client = new CommandClient()) {
            DemoSetup.apply(platform, client, out);
            DemoSetup.awaitReady(daemons);
            SplittableRandom random = new SplittableRandom(mSeed);
            SoakFaults faults =
                    new SoakFaults(platform, daemons, client.scheduler(), random.split(), tally);
            faults.start();
            callAll(platform, daemons, client, random, tally);
            faults.stop();
            daemons.all().forEach(faults::checkInvariants);
        }
        tally.counts().forEach((what, count) -> out.println("  " + what + ": " + count));
        tally.breaches().forEach(err::println);
        out.println(tally.clean() ? "ok    every promise held" : "WRONG promises were broken");
        return tally.clean() ? ExitCode.OK : ExitCode.REFUSED;
    }

    private void callAll(
            DemoPlatform platform,
            DemoDaemons daemons,
            CommandClient client,
            SplittableRandom random,
            SoakTally tally) {
        List<SoakCaller> callers = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < mCallers; i++) {
            SoakCaller caller =
                    new SoakCaller(
                            "caller-" + i,
                            platform,
                            daemons,
                            new DemoCalls(client),
                            random.split(),
                            tally);
            Thread thread = new Thread(caller, "soak-caller-" + i);
            callers.add(caller);
            threads.add(thread);
            thread.start();
        }
        LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(mSeconds));
        callers.forEach(SoakCaller::stop);
        threads.forEach(SoakCommand::join);
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new CommandException(ExitCode.UNKNOWN, "the soak was interrupted; run it again");
        }
    }
}
