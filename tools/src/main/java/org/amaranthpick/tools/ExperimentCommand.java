package org.amaranthpick.tools;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.standins.fleet.FleetShape;
import org.amaranthpick.tools.experiment.Arrival;
import org.amaranthpick.tools.experiment.ArrivalFile;
import org.amaranthpick.tools.experiment.Experiment;
import org.amaranthpick.tools.experiment.ExperimentReport;
import org.amaranthpick.tools.experiment.ExperimentResult;
import org.amaranthpick.tools.experiment.LoadPattern;
import org.amaranthpick.tools.experiment.PolicyKind;
import org.amaranthpick.tools.experiment.WorthPlot;

/** Plays load patterns through the gateway's decisions on an emulated fleet. */
@com.github.rvesse.airline.annotations.Command(
        name = "experiment",
        description = "Play load patterns on an emulated fleet and compare ways to choose chains")
public final class ExperimentCommand implements Command {
    @Option(name = "--pattern", description = "Load pattern; may be repeated. Default: all.")
    private List<String> mPatterns = new ArrayList<>();

    @Option(name = "--seed", description = "Seed of the draws. Default: 1.")
    private long mSeed = 1;

    @Option(
            name = "--arrivals",
            description = "CSV file of recorded requests to play instead of drawn ones.")
    private String mArrivals;

    @Option(name = "--plot", description = "SVG file to write.")
    private String mPlot;

    @Arguments(title = "SHAPE", description = "JSON file with the shape of the fleet")
    @Required
    private String mShape;

    @Override
    public int run(PrintStream out, PrintStream err) {
        FleetShape shape;
        Optional<List<Arrival>> arrivals = Optional.empty();
        try {
            shape = FleetShape.read(Path.of(mShape));
            if (mArrivals != null) {
                arrivals = Optional.of(ArrivalFile.read(Path.of(mArrivals)));
            }
        } catch (IOException e) {
            err.println("shape or arrivals cannot be read: " + e.getMessage());
            return ExitCode.USAGE;
        }
        Optional<List<LoadPattern>> patterns = patterns(err);
        if (patterns.isEmpty()) {
            return ExitCode.USAGE;
        }
        List<ExperimentResult> results = new ArrayList<>();
        for (LoadPattern pattern : patterns.get()) {
            for (PolicyKind policy : PolicyKind.values()) {
                results.add(new Experiment(shape, pattern, policy, mSeed).run(arrivals));
            }
        }
        out.print(ExperimentReport.table(results));
        return mPlot == null ? ExitCode.OK : plot(results, err);
    }

    private Optional<List<LoadPattern>> patterns(PrintStream err) {
        List<LoadPattern> chosen = new ArrayList<>();
        List<String> unknown = new ArrayList<>(mPatterns);
        for (LoadPattern pattern : LoadPattern.values()) {
            if (mPatterns.isEmpty() || unknown.remove(pattern.label())) {
                chosen.add(pattern);
            }
        }
        if (!unknown.isEmpty()) {
            err.println("no such pattern: " + unknown.get(0) + "; leave --pattern out for all");
            return Optional.empty();
        }
        return Optional.of(chosen);
    }

    private int plot(List<ExperimentResult> results, PrintStream err) {
        try {
            Files.writeString(Path.of(mPlot), WorthPlot.svg(results));
            return ExitCode.OK;
        } catch (IOException e) {
            err.println("plot " + mPlot + " cannot be written: " + e.getMessage());
            return ExitCode.USAGE;
        }
    }
}
