package org.amaranthpick.core.gateway.admission;

import java.util.function.IntSupplier;

/**
 * Spaces what a daemon sends while there is too little room. Designed for the end of an outage in a
 * fleet of hundreds of daemons, and for chains that are nearly full: all daemons see the same free
 * room, and together would fill it many times over before the engines are observed again. All of
 * them together take about the free room in the time between two observations.
 */
final class SendPacing {
    /** Time in which a daemon takes its part of the free room; engines report about as often. */
    private static final double WINDOW_NS = 250e6;

    /** Daemons have uneven numbers of callers, so one may take more than an even part. */
    private static final double EVEN_PARTS = 2;

    private final IntSupplier mDaemons;
    private double mLastTokens;
    private long mLastSentNs;

    SendPacing(IntSupplier daemons) {
        mDaemons = daemons;
    }

    /** Returns whether a request may be sent now into room of a size. */
    boolean admits(double freeTokens, long nowNs) {
        double takenNs = (double) (nowNs - mLastSentNs);
        return takenNs * partOf(freeTokens) >= WINDOW_NS * mLastTokens;
    }

    /** Returns the part of the room that this daemon takes before the engines are observed. */
    double partOf(double freeTokens) {
        return EVEN_PARTS * freeTokens / Math.max(1, mDaemons.getAsInt());
    }

    void onSent(double tokens, long nowNs) {
        mLastTokens = tokens;
        mLastSentNs = nowNs;
    }
}
