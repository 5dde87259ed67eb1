package org.amaranthpick.tools.experiment;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** What callers saw in one run. */
final class CallTally {
    private static final long LONGEST_MS = 60_000;
    private static final int DIGITS = 2;

    private final Histogram mFirstEventMs = new Histogram(LONGEST_MS, DIGITS);
    private final List<Ended> mEnded = new ArrayList<>();

    /** How a request ended. */
    enum Outcome {
        ON_TIME,
        LATE,
        REFUSED,
        BROKEN,
        LEFT
    }

    /**
     * One request.
     *
     * @param askedMs time at which it came
     * @param outcome its end
     */
    record Ended(double askedMs, Outcome outcome) {}

    void onFirstEvent(double ms) {
        mFirstEventMs.recordValue((long) Math.min(LONGEST_MS, ms));
    }

    void onEnd(double askedMs, Outcome outcome) {
        mEnded.add(new Ended(askedMs, outcome));
    }

    List<Ended> ended() {
        return mEnded;
    }

    long count(Outcome outcome) {
        return mEnded.stream().filter(end -> end.outcome() == outcome).count();
    }

    long firstEventMs(double percentile) {
        return mFirstEventMs.getValueAtPercentile(percentile);
    }

    /** Worth earned against worth asked for; callers that left on purpose are not counted. */
    double worth(double lateWorth) {
        double earned = count(Outcome.ON_TIME) + lateWorth * count(Outcome.LATE);
        long asked = mEnded.size() - count(Outcome.LEFT);
        return asked == 0 ? 1 : earned / asked;
    }
}
