package org.amaranthpick.soak;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Plays seeds of the fault soak. */
@Command(name = "soak", description = "Play daemons as processes under overlapping faults")
public final class SoakMain {
    @Option(
            name = "--scene",
            description = "Kinds of faults: ALL, or PLANNED for planned work and pauses.")
    private FaultScene mScene = FaultScene.ALL;

    @Option(name = "--first", description = "First seed. Default: 1.")
    private long mFirst = 1;

    @Option(name = "--seeds", description = "Number of seeds. Default: 50.")
    private int mSeeds = 50;

    @Option(name = "--jobs", description = "Seeds played at a time, three daemons each.")
    private int mJobs = 2;

    @Option(name = "--seconds", description = "Time in which faults begin. Default: 5.")
    private int mSeconds = 5;

    @Option(name = "--faults", description = "Faults of one seed. Default: 14.")
    private int mFaults = 14;

    @Option(name = "--directory", description = "Directory for settings and logs.")
    private String mDirectory = "target/soak";

    /**
     * Plays the seeds and ends with 0 if no promise was broken.
     *
     * @param args options
     * @throws InterruptedException if interrupted
     * @throws ExecutionException if a seed cannot be played
     */
    public static void main(String[] args) throws InterruptedException, ExecutionException {
        SoakMain main = SingleCommand.singleCommand(SoakMain.class).parse(args);
        System.exit(main.run() ? 0 : 1);
    }

    private boolean run() throws InterruptedException, ExecutionException {
        ExecutorService jobs = Executors.newFixedThreadPool(mJobs);
        List<Future<SoakResult>> results = new ArrayList<>();
        for (long seed = mFirst; seed < mFirst + mSeeds; seed++) {
            SoakRun run =
                    new SoakRun(
                            mScene,
                            seed,
                            Path.of(mDirectory, "seed-" + seed),
                            Duration.ofSeconds(mSeconds),
                            mFaults);
            results.add(jobs.submit(run::play));
        }
        jobs.shutdown();
        boolean kept = true;
        for (Future<SoakResult> result : results) {
            System.out.println(result.get().report());
            kept &= result.get().broken().isEmpty();
        }
        return kept;
    }
}
