package org.amaranthpick.tools;

import java.util.EnumMap;
import java.util.Map;

/** Requests of a host, and those of them without a whole answer, by the planned work beside. */
final class CutCounts {
    /** Ratio to the rate elsewhere above which cuts beside a configuration count. */
    private static final int MOST_TIMES = 3;

    private final Map<Beside, long[]> mRequests = new EnumMap<>(Beside.class);

    /** Planned work within reach. */
    enum Beside {
        CONFIGURATION,
        STOP,
        ELSEWHERE,
        /** The line has neither a time nor the age of the version in force. */
        UNKNOWN
    }

    CutCounts() {
        for (Beside beside : Beside.values()) {
            mRequests.put(beside, new long[2]);
        }
    }

    void addRequest(Beside beside) {
        mRequests.get(beside)[0]++;
    }

    void addCut(Beside beside) {
        mRequests.get(beside)[1]++;
    }

    void add(CutCounts other) {
        for (Beside beside : Beside.values()) {
            mRequests.get(beside)[0] += other.requests(beside);
            mRequests.get(beside)[1] += other.cuts(beside);
        }
    }

    long requests(Beside beside) {
        return mRequests.get(beside)[0];
    }

    long cuts(Beside beside) {
        return mRequests.get(beside)[1];
    }

    /** Returns cuts per request, 0 if there are no requests. */
    double rate(Beside beside) {
        return requests(beside) == 0 ? 0 : (double) cuts(beside) / requests(beside);
    }

    /** Returns whether the rates are known. */
    boolean isKnown() {
        return requests(Beside.UNKNOWN) == 0;
    }

    /**
     * Returns whether cuts beside a configuration are over three times as frequent as elsewhere.
     */
    boolean isOverThreeTimes() {
        return isKnown() && rate(Beside.CONFIGURATION) > MOST_TIMES * rate(Beside.ELSEWHERE);
    }
}
