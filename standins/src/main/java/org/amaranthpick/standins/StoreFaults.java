package org.amaranthpick.standins;

import java.util.concurrent.atomic.AtomicInteger;

/** Faults of the store stand-in. Every field may be changed while it runs. */
public final class StoreFaults {
    /** Answers every call with status 503 and changes nothing. */
    public volatile boolean mOutage;

    /** Writes still to come that take effect and whose answer is lost. */
    public final AtomicInteger mLoseAnswers = new AtomicInteger();

    /** Writes still to come that are dropped before they take effect, without an answer. */
    public final AtomicInteger mDropWrites = new AtomicInteger();

    /** Calls still to come that are refused as over the rate. */
    public final AtomicInteger mThrottle = new AtomicInteger();

    /** Accepts calls and sends no byte. */
    public volatile boolean mSilent;

    /** Watches tell nothing, not even progress, and stay open. */
    public volatile boolean mSilentWatches;

    /** Reads and lists give the state as of the time when this was set. */
    public volatile boolean mStaleReads;

    /** Creates faults that are all off. */
    public StoreFaults() {}
}
