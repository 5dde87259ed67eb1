package org.amaranthpick.standins;

import java.time.Duration;

/** Faults of an engine stand-in. Every field may be changed while it runs. */
public final class EngineFaults {
    /** Refuses every new request before it runs. */
    public volatile boolean mRefuse;

    /** Accepts requests and sends no byte at all. */
    public volatile boolean mSilent;

    /** Sends no byte after this many tokens of a stream, and keeps it open; below 0 for never. */
    public volatile int mSilentAfterTokens = -1;

    /** Closes the connection after this many tokens of a stream; below 0 for never. */
    public volatile int mDropAfterTokens = -1;

    /** Reads a request, runs the first token and closes the connection without a byte. */
    public volatile boolean mRunThenDrop;

    /** Reads a request and closes the connection without running anything. */
    public volatile boolean mDropUnrun;

    /** Loses the next stage after this many tokens of a stream; below 0 for never. */
    public volatile int mLoseNextAfterTokens = -1;

    /** Sends every token twice. */
    public volatile boolean mDuplicate;

    /** Sends a frame of an earlier attempt before each token. */
    public volatile boolean mLateFrames;

    /** Runs the layers of each token twice. */
    public volatile boolean mRunLayersTwice;

    /** Leaves the end line out and ends the stream cleanly. */
    public volatile boolean mTruncate;

    /** Answers with a line that is no JSON. */
    public volatile boolean mGarbage;

    /** Answers with status 500. */
    public volatile boolean mServerError;

    /** Streams reported in the status in place of the true number; below 0 for the true one. */
    public volatile int mReportedStreams = -1;

    /** Runs another model version than the one asked for. */
    public volatile boolean mWrongVersion;

    /** Time added before every token. */
    public volatile Duration mSlow = Duration.ZERO;

    /** Leaves every second cache event out. */
    public volatile boolean mCacheEventGaps;

    /** Creates faults that are all off. */
    public EngineFaults() {}
}
