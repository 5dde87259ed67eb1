package org.amaranthpick.tools.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.standins.fleet.EmulatedFleet;
import org.amaranthpick.standins.fleet.FleetShape;

/**
 * What callers saw in one run.
 *
 * @param pattern load
 * @param policy how chains were chosen
 * @param requests requests asked, without callers that left on purpose
 * @param worth worth earned against worth asked for
 * @param worstWorth the same in the worst two seconds
 * @param onTime part of the requests answered on time
 * @param late part answered late
 * @param refused part refused in the end
 * @param broken part broken off, or left since nothing came
 * @param firstEventMs median time to the first event
 * @param firstEvent99Ms the same at the 99th percentile
 * @param preemptions streams put back since memory ran out
 * @param loads loads of weights
 * @param worthBySecond worth earned against worth asked for, by second of the request
 */
public record ExperimentResult(
        LoadPattern pattern,
        PolicyKind policy,
        long requests,
        double worth,
        double worstWorth,
        double onTime,
        double late,
        double refused,
        double broken,
        long firstEventMs,
        long firstEvent99Ms,
        int preemptions,
        int loads,
        List<Double> worthBySecond) {
    private static final double MS_PER_S = 1000;
    private static final double MEDIAN = 50;
    private static final double TAIL = 99;

    /** Copies the list. */
    public ExperimentResult {
        worthBySecond = List.copyOf(worthBySecond);
    }

    static ExperimentResult of(
            FleetShape shape,
            LoadPattern pattern,
            PolicyKind policy,
            CallTally tally,
            EmulatedFleet fleet,
            PlacementLoop placement,
            Duration lead) {
        double asked = Math.max(1, tally.ended().size() - tally.count(CallTally.Outcome.LEFT));
        List<Double> bySecond = bySecond(tally, shape.lateWorth(), lead);
        return new ExperimentResult(
                pattern,
                policy,
                (long) asked,
                tally.worth(shape.lateWorth()),
                worst(bySecond),
                tally.count(CallTally.Outcome.ON_TIME) / asked,
                tally.count(CallTally.Outcome.LATE) / asked,
                tally.count(CallTally.Outcome.REFUSED) / asked,
                tally.count(CallTally.Outcome.BROKEN) / asked,
                tally.firstEventMs(MEDIAN),
                tally.firstEventMs(TAIL),
                fleet.preemptions(),
                placement.loads(),
                bySecond);
    }

    private static List<Double> bySecond(CallTally tally, double lateWorth, Duration lead) {
        List<CallTally> seconds = new ArrayList<>();
        for (CallTally.Ended end : tally.ended()) {
            int second = (int) ((end.askedMs() - lead.toMillis()) / MS_PER_S);
            while (seconds.size() <= second) {
                seconds.add(new CallTally());
            }
            seconds.get(second).onEnd(end.askedMs(), end.outcome());
        }
        return seconds.stream().map(second -> second.worth(lateWorth)).toList();
    }

    private static double worst(List<Double> bySecond) {
        double worst = 1;
        for (int i = 0; i + 1 < bySecond.size(); i++) {
            worst = Math.min(worst, (bySecond.get(i) + bySecond.get(i + 1)) / 2);
        }
        return worst;
    }
}
