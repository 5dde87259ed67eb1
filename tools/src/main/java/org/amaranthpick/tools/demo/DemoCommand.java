package org.amaranthpick.tools.demo;

import com.github.rvesse.airline.annotations.Option;
import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.server.daemon.Daemon;
import org.amaranthpick.standins.EngineStandIn;
import org.amaranthpick.tools.Command;
import org.amaranthpick.tools.ExitCode;
import org.amaranthpick.tools.client.CommandClient;

/** Runs the main job on embedded stand-ins: both fleets, three daemons, faults on the way. */
@com.github.rvesse.airline.annotations.Command(
        name = "demo",
        description = "Run daemons, engines, a service and a store in one process")
public final class DemoCommand implements Command {
    private static final int DAEMONS = 3;
    private static final int TOKENS = 40;
    private static final int KILL_AT_TOKEN = 10;
    private static final Duration WAIT = Duration.ofSeconds(20);
    private static final String QUESTION = "Move Tuesday's lesson after the public holiday.";

    @Option(name = "--verbose", description = "Print every decision line.")
    private boolean mVerbose;

    @Override
    public int run(PrintStream out, PrintStream err) {
        if (mVerbose) {
            out.println("decision lines follow on standard error");
        }
        try (DemoPlatform platform = new DemoPlatform();
                DemoDaemons daemons = new DemoDaemons(platform.store().address(), DAEMONS);
                CommandClient client = new CommandClient()) {
            DemoRun run = new DemoRun(platform, daemons, new DemoCalls(client), out);
            DemoSetup.apply(platform, client, out);
            DemoSetup.awaitReady(daemons);
            run.answerBothFleets();
            run.killStageMidAnswer();
            run.repeatCheckout();
            run.drainInTurn();
            return run.allRight() ? ExitCode.OK : ExitCode.REFUSED;
        }
    }

    /** Steps of the demo. */
    private static final class DemoRun {
        private final DemoPlatform mPlatform;
        private final DemoDaemons mDaemons;
        private final DemoCalls mCalls;
        private final PrintStream mOut;
        private boolean mAllRight = true;

        DemoRun(DemoPlatform platform, DemoDaemons daemons, DemoCalls calls, PrintStream out) {
            mPlatform = platform;
            mDaemons = daemons;
            mCalls = calls;
            mOut = out;
        }

        boolean allRight() {
            return mAllRight;
        }

        void answerBothFleets() {
            for (DemoFleet fleet : mPlatform.fleets()) {
                DemoCalls.Streamed answer = join(stream(0, fleet, 0, () -> {}));
                check(fleet.name() + "/assistant answers its own workspace", fleet, answer);
            }
        }

        void killStageMidAnswer() {
            DemoFleet fleet = mPlatform.fleets().get(0);
            CompletableFuture<DemoCalls.Streamed> answer =
                    stream(1, fleet, KILL_AT_TOKEN, () -> killBusyStage(fleet));
            check("a stage dies mid-answer, the answer is whole", fleet, join(answer));
        }

        void repeatCheckout() {
            DemoFleet fleet = mPlatform.fleets().get(1);
            for (int i = 0; i < DAEMONS; i++) {
                CommandClient.Answer answer =
                        mCalls.checkout(mDaemons.callers(i), fleet, "checkout-1");
                mOut.println("  daemon " + (i + 1) + ": status " + answer.status());
            }
            report(
                    "one checkout sent through three daemons ran once",
                    fleet.service().runs("checkout-1") == 1);
        }

        void drainInTurn() {
            DemoFleet fleet = mPlatform.fleets().get(1);
            for (int i = 0; i < DAEMONS - 1; i++) {
                CompletableFuture<DemoCalls.Streamed> answer = stream(i, fleet, 0, () -> {});
                Daemon daemon = mDaemons.all().get(i);
                CompletableFuture<Void> drained = daemon.drain().toCompletableFuture();
                check("daemon " + (i + 1) + " drains, its answer is whole", fleet, join(answer));
                join(drained);
                daemon.close();
            }
        }

        private CompletableFuture<DemoCalls.Streamed> stream(
                int daemon, DemoFleet fleet, int atToken, Runnable run) {
            return mCalls.stream(mDaemons.callers(daemon), fleet, QUESTION, TOKENS, atToken, run);
        }

        private void killBusyStage(DemoFleet fleet) {
            for (EngineStandIn engine : fleet.engines().values()) {
                if (engine.streams() > 0) {
                    mOut.println("  killing " + engine.upstream());
                    engine.die();
                    return;
                }
            }
        }

        private void check(String what, DemoFleet fleet, DemoCalls.Streamed answer) {
            boolean right =
                    answer.outcome().equals("answered")
                            && answer.text().equals(DemoCalls.expected(fleet, QUESTION, TOKENS));
            mOut.println("  " + answer.text().strip() + " [" + answer.outcome() + "]");
            report(what, right);
        }

        private void report(String what, boolean right) {
            mAllRight &= right;
            mOut.println((right ? "ok    " : "WRONG ") + what);
        }
    }

    private static <T> T join(java.util.concurrent.CompletionStage<T> stage) {
        return stage.toCompletableFuture().orTimeout(WAIT.toSeconds(), TimeUnit.SECONDS).join();
    }
}
