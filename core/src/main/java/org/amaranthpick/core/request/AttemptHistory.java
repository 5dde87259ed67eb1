package org.amaranthpick.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** What became of each attempt of one request. Confined to the request's event queue. */
final class AttemptHistory {
    /** What is known of one attempt. */
    enum Fate {
        /** Handed to the upstream client; bytes may have left since. */
        STARTED(true),
        /** The first byte may have left. */
        SENDING(true),
        /** The call never left this host. */
        NOT_SENT(false),
        /** The upstream refused before running. */
        REFUSED(false),
        /** It failed or was given up after bytes may have left. */
        LOST(true),
        /** The answer came whole. */
        FINISHED(true);

        private final boolean mMayHaveRun;

        Fate(boolean mayHaveRun) {
            mMayHaveRun = mayHaveRun;
        }
    }

    private final List<Fate> mFates = new ArrayList<>(1);

    /**
     * Starts the next attempt.
     *
     * @return its number, 1 or more
     */
    int start() {
        mFates.add(Fate.STARTED);
        return mFates.size();
    }

    /**
     * Records what is known of an attempt.
     *
     * @param attempt number of the attempt
     * @param fate what is known now
     */
    void set(int attempt, Fate fate) {
        mFates.set(attempt - 1, fate);
    }

    /**
     * Returns what is known of an attempt.
     *
     * @param attempt number of the attempt
     * @return its fate
     */
    Fate get(int attempt) {
        return mFates.get(attempt - 1);
    }

    /**
     * Counts the attempts.
     *
     * @return attempts started
     */
    int size() {
        return mFates.size();
    }

    /**
     * Tells whether any attempt may have run.
     *
     * @return false only if no byte was sent, or every upstream that got bytes refused before
     *     running
     */
    boolean mayHaveRun() {
        return mFates.stream().anyMatch(fate -> fate.mMayHaveRun);
    }

    @Override
    public String toString() {
        return mFates.stream().map(Fate::name).collect(Collectors.joining(",", "[", "]"));
    }
}
