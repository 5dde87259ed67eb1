package org.amaranthpick.tools.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.amaranthpick.standins.fleet.EntryGroup;
import org.amaranthpick.standins.fleet.FleetShape;

/** Draws the requests of a pattern from a seed. */
final class ArrivalMaker {
    /** Start of what a pattern does to the load, and its end. */
    static final double FROM_MS = 10_000;

    static final double TO_MS = 14_000;

    private static final double BURST = 1.7;
    private static final double BURST_MS = 3000;
    private static final double SHIFTED = 0.5;
    private static final double GIVING_UP = 0.25;
    private static final int CALLERS_EACH_DOMAIN = 40;
    private static final double MS_PER_S = 1000;

    /** Longest prompt and answer against the mean; sizes are spread widely, as callers' are. */
    private static final double LONGEST = 3;

    private final FleetShape mShape;
    private final SplittableRandom mRandom;
    private final LoadPattern mPattern;

    ArrivalMaker(FleetShape shape, LoadPattern pattern, long seed) {
        mShape = shape;
        mPattern = pattern;
        mRandom = new SplittableRandom(seed);
    }

    List<Arrival> make(long lengthMs) {
        List<Arrival> arrivals = new ArrayList<>();
        for (EntryGroup entry : mShape.entries()) {
            double atMs = gapMs(entry, 0);
            while (atMs < lengthMs) {
                arrivals.add(arrival(entry, atMs));
                atMs += gapMs(entry, atMs);
            }
        }
        arrivals.sort(Comparator.comparingDouble(Arrival::atMs));
        return arrivals;
    }

    private double gapMs(EntryGroup entry, double atMs) {
        double rate = entry.requestsPerS() / MS_PER_S;
        if (mPattern == LoadPattern.BURST && atMs >= FROM_MS && atMs < FROM_MS + BURST_MS) {
            rate *= BURST;
        }
        return -Math.log(1 - mRandom.nextDouble()) / rate;
    }

    private Arrival arrival(EntryGroup entry, double drawnMs) {
        boolean within = drawnMs >= FROM_MS && drawnMs < TO_MS;
        double atMs = within && mPattern == LoadPattern.RETURN ? TO_MS : drawnMs;
        String domain = entry.domain();
        String first = mShape.entries().get(0).domain();
        if (within
                && mPattern == LoadPattern.SHIFT
                && !domain.equals(first)
                && mRandom.nextDouble() < SHIFTED) {
            domain = first;
        }
        boolean givesUp =
                within && mPattern == LoadPattern.GIVE_UP && mRandom.nextDouble() < GIVING_UP;
        return new Arrival(
                atMs,
                domain,
                mRandom.nextInt(CALLERS_EACH_DOMAIN),
                size(mShape.model().usualPromptTokens()),
                size(mShape.model().usualAnswerTokens()),
                givesUp ? mShape.firstEventMs() / 2 : 0);
    }

    /** Exponential sizes, cut at the longest. */
    private int size(int mean) {
        double drawn = -Math.log(1 - mRandom.nextDouble()) * mean;
        return (int) Math.max(1, Math.min(LONGEST * mean, drawn));
    }
}
