package org.amaranthpick.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** State of each attempt of one request. Confined to the request's event queue. */
final class AttemptHistory {
    /** Latest known state of one attempt. */
    enum State {
        /** Handed to the upstream client; bytes may have been sent since. */
        STARTED(true),
        /** The first byte may have been sent. */
        SENDING(true),
        /** No byte of the call was sent. */
        NOT_SENT(false),
        /** The upstream refused the call without running it. */
        REFUSED(false),
        /** Failed or was given up after bytes may have been sent. */
        LOST(true),
        /** The complete answer was received. */
        FINISHED(true);

        private final boolean mMayHaveRun;

        State(boolean mayHaveRun) {
            mMayHaveRun = mayHaveRun;
        }
    }

    private final List<State> mStates = new ArrayList<>(1);

    /**
     * Adds an attempt in the state {@link State#STARTED}.
     *
     * @return number of the attempt, 1 or more
     */
    int addAttempt() {
        mStates.add(State.STARTED);
        return mStates.size();
    }

    /**
     * Sets the state of an attempt.
     *
     * @param attempt number of the attempt
     * @param state new state
     */
    void setState(int attempt, State state) {
        mStates.set(attempt - 1, state);
    }

    /**
     * Returns the state of an attempt.
     *
     * @param attempt number of the attempt
     * @return latest known state
     */
    State state(int attempt) {
        return mStates.get(attempt - 1);
    }

    /**
     * Returns the number of attempts.
     *
     * @return attempts started
     */
    int size() {
        return mStates.size();
    }

    /**
     * Returns whether any attempt may have run.
     *
     * @return false only if every attempt sent no byte or was refused without running
     */
    boolean mayHaveRun() {
        return mStates.stream().anyMatch(state -> state.mMayHaveRun);
    }

    @Override
    public String toString() {
        return mStates.stream().map(State::name).collect(Collectors.joining(",", "[", "]"));
    }
}
