package org.amaranthpick.core.register;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Health of upstreams as seen in this daemon's traffic. An upstream that failed is excluded for a
 * time that doubles with each further failure, until a success. The same holds for one that refuses
 * requests: a refusal comes from a full engine, which has room again soon, or from one that cannot
 * reach the next engine of its chain, which stays so for seconds. Designed for the loss of many
 * engines at once, where each daemon would otherwise spend its retry budget on the same dead ones
 * again and again. Confined to one thread.
 */
public final class UpstreamHealth {
    private static final Duration FIRST_EXCLUSION = Duration.ofMillis(800);

    /**
     * Upper bound of an exclusion. Crashed engines leave the register sooner, and partitioned ones
     * are needed again soon after.
     */
    private static final Duration MAX_EXCLUSION = Duration.ofSeconds(3);

    private static final int MAX_DOUBLINGS = 6;

    /** Time for which an upstream that refused gets no requests from this daemon. */
    private static final Duration FIRST_BUSY_EXCLUSION = Duration.ofMillis(250);

    /** Number of refusals without a success after which an upstream counts as failing. */
    private static final int REFUSALS_OF_FAILING = 2;

    /** Number of upstreams from which those that ended their exclusion long ago are forgotten. */
    private static final int MAX_UPSTREAMS = 512;

    private static final Duration FORGOTTEN_AFTER = Duration.ofSeconds(30);

    private final Map<String, FailureState> mBusy = new HashMap<>();

    /** What other daemons reported; kept apart, since it is less certain than own traffic. */
    private final Map<String, FailureState> mReported = new HashMap<>();

    private final Map<String, FailureState> mFailing = new HashMap<>();
    private final Map<String, Long> mLastSuccessNs = new HashMap<>();
    private Listener mListener = (id, kind) -> {};
    private long mVersion;

    /** Receives this daemon's own observations. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Handles the observation that began an exclusion.
         *
         * @param upstreamId id of the upstream
         * @param kind what was observed
         */
        void onObservation(String upstreamId, HealthNote.Kind kind);
    }

    private record FailureState(int failures, long excludedUntilNs) {}

    /**
     * Sets the listener of this daemon's own observations.
     *
     * @param listener the listener
     */
    public void setListener(Listener listener) {
        mListener = listener;
    }

    /**
     * Records a failure that the upstream caused.
     *
     * @param id id of the upstream
     * @param nowNs monotonic time
     */
    public void onFailure(String id, long nowNs) {
        exclude(mFailing, id, FIRST_EXCLUSION, nowNs);
    }

    /**
     * Records that the upstream cannot be reached or does not respond. Unlike other failures, which
     * may concern one answer only, this is worth telling others.
     *
     * @param id id of the upstream
     * @param nowNs monotonic time
     */
    public void onUnreachable(String id, long nowNs) {
        if (exclude(mFailing, id, FIRST_EXCLUSION, nowNs)) {
            mListener.onObservation(id, HealthNote.Kind.UNREACHABLE);
        }
    }

    /**
     * Records that neither this nor another daemon reaches the upstream. Others are told even if it
     * is excluded here already.
     *
     * @param id id of the upstream
     * @param nowNs monotonic time
     */
    public void onConfirmedUnreachable(String id, long nowNs) {
        exclude(mFailing, id, FIRST_EXCLUSION, nowNs);
        mListener.onObservation(id, HealthNote.Kind.UNREACHABLE);
    }

    /**
     * Records that another daemon reaches an upstream that this one does not reach.
     *
     * @param id id of the upstream
     */
    public void onReachable(String id) {
        if (mFailing.remove(id) != null) {
            mVersion++;
        }
    }

    /** Forgets the failures that this daemon observed, since its own paths were at fault. */
    public void forgetFailures() {
        mFailing.clear();
        mVersion++;
    }

    /**
     * Records what another daemon observed. It excludes the upstream like an own observation, but
     * the upstream does not count as failing.
     *
     * @param id id of the upstream
     * @param kind what was observed
     * @param nowNs monotonic time
     * @return true if it was news, false if the upstream was excluded already
     */
    public boolean onReported(String id, HealthNote.Kind kind, long nowNs) {
        Duration first =
                kind == HealthNote.Kind.UNREACHABLE ? FIRST_EXCLUSION : FIRST_BUSY_EXCLUSION;
        return !excluded(id, nowNs) && exclude(mReported, id, first, nowNs);
    }

    /** Excludes an upstream for longer than the last time, unless it is excluded already. */
    private boolean exclude(
            Map<String, FailureState> states, String id, Duration first, long nowNs) {
        FailureState previous = states.get(id);
        if (previous != null && nowNs < previous.excludedUntilNs()) {
            return false;
        }
        if (states.size() >= MAX_UPSTREAMS) {
            states.values()
                    .removeIf(state -> state.excludedUntilNs() + FORGOTTEN_AFTER.toNanos() < nowNs);
        }
        int failures = previous == null ? 1 : previous.failures() + 1;
        long exclusionNs = first.toNanos() << Math.min(failures - 1, MAX_DOUBLINGS);
        exclusionNs = Math.min(exclusionNs, MAX_EXCLUSION.toNanos());
        states.put(id, new FailureState(failures, nowNs + exclusionNs));
        mVersion++;
        return true;
    }

    /**
     * Records that the upstream refused a request for lack of capacity.
     *
     * @param id id of the upstream
     * @param nowNs monotonic time
     */
    public void onBusy(String id, long nowNs) {
        if (exclude(mBusy, id, FIRST_BUSY_EXCLUSION, nowNs)) {
            mListener.onObservation(id, HealthNote.Kind.REFUSED);
        }
    }

    /**
     * Checks whether an upstream has failed, or refused repeatedly, and not succeeded since.
     *
     * @param id id of the upstream
     * @return true from then until the next success
     */
    public boolean failing(String id) {
        FailureState busy = mBusy.get(id);
        return mFailing.containsKey(id) || (busy != null && busy.failures() >= REFUSALS_OF_FAILING);
    }

    /**
     * Checks whether this daemon has observed a failure of an upstream and no success since.
     *
     * @param id id of the upstream
     * @return true from the failure until the next success
     */
    public boolean failedSinceSuccess(String id) {
        return mFailing.containsKey(id);
    }

    /**
     * Records a success of the upstream.
     *
     * @param id id of the upstream
     * @param nowNs monotonic time
     */
    public void onSuccess(String id, long nowNs) {
        if (mLastSuccessNs.size() >= MAX_UPSTREAMS) {
            mLastSuccessNs
                    .values()
                    .removeIf(successNs -> nowNs - successNs > FORGOTTEN_AFTER.toNanos());
        }
        mLastSuccessNs.put(id, nowNs);
        boolean failed = mFailing.remove(id) != null;
        boolean refused = mBusy.remove(id) != null;
        boolean reported = mReported.remove(id) != null;
        if (failed || refused || reported) {
            mVersion++;
        }
    }

    /**
     * Checks whether this daemon had a success of the upstream since a time.
     *
     * @param id id of the upstream
     * @param sinceNs monotonic time
     * @return true if its last success is not older
     */
    public boolean succeededSince(String id, long sinceNs) {
        Long successNs = mLastSuccessNs.get(id);
        return successNs != null && successNs >= sinceNs;
    }

    /**
     * Checks whether an upstream is excluded.
     *
     * @param id id of the upstream
     * @param nowNs monotonic time
     * @return true while it is excluded
     */
    public boolean excluded(String id, long nowNs) {
        return isExcluded(mBusy.get(id), nowNs)
                || isExcluded(mReported.get(id), nowNs)
                || excludedForFailure(id, nowNs);
    }

    /**
     * Checks whether an upstream is excluded for failures that this daemon itself observed. Orders
     * that move layers rely on this alone: a full engine still holds its layers, what others report
     * is less certain, and layers moved in error cost the streams of a chain.
     *
     * @param id id of the upstream
     * @param nowNs monotonic time
     * @return true while it is excluded for a failure
     */
    public boolean excludedForFailure(String id, long nowNs) {
        return isExcluded(mFailing.get(id), nowNs);
    }

    private static boolean isExcluded(FailureState state, long nowNs) {
        return state != null && nowNs < state.excludedUntilNs();
    }

    /**
     * Returns a version that increases with every change.
     *
     * @return version of the health in this process
     */
    public long version() {
        return mVersion;
    }
}
