package org.amaranthpick.core.register;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Health of upstreams as seen in this daemon's traffic. An upstream that failed is excluded for a
 * time that doubles with each further failure, until a success. Confined to one thread.
 */
public final class UpstreamHealth {
    private static final Duration FIRST_EXCLUSION = Duration.ofMillis(800);

    /**
     * Upper bound of an exclusion. Crashed engines leave the register sooner, and partitioned ones
     * are needed again soon after.
     */
    private static final Duration MAX_EXCLUSION = Duration.ofSeconds(3);

    /** Time for which an overloaded upstream gets no requests from this daemon. */
    private static final Duration BUSY_EXCLUSION = Duration.ofMillis(250);

    private final Map<String, Long> mBusyUntilNs = new HashMap<>();
    private final Map<String, FailureState> mFailing = new HashMap<>();
    private long mVersion;

    private record FailureState(int failures, long excludedUntilNs) {}

    /**
     * Records a failure that the upstream caused.
     *
     * @param id id of the upstream
     * @param nowNs monotonic time
     */
    public void onFailure(String id, long nowNs) {
        FailureState previous = mFailing.get(id);
        int failures = previous == null ? 1 : previous.failures() + 1;
        if (previous != null && nowNs < previous.excludedUntilNs()) {
            return;
        }
        long exclusionNs = FIRST_EXCLUSION.toNanos() << Math.min(failures - 1, 6);
        exclusionNs = Math.min(exclusionNs, MAX_EXCLUSION.toNanos());
        mFailing.put(id, new FailureState(failures, nowNs + exclusionNs));
        mVersion++;
    }

    /**
     * Records that the upstream refused a request for lack of capacity.
     *
     * @param id id of the upstream
     * @param nowNs monotonic time
     */
    public void onBusy(String id, long nowNs) {
        mBusyUntilNs.put(id, nowNs + BUSY_EXCLUSION.toNanos());
        mVersion++;
    }

    /**
     * Checks whether an upstream has failed and not succeeded since.
     *
     * @param id id of the upstream
     * @return true from a failure until the next success
     */
    public boolean failing(String id) {
        return mFailing.containsKey(id);
    }

    /**
     * Records a success of the upstream.
     *
     * @param id id of the upstream
     */
    public void onSuccess(String id) {
        if (mFailing.remove(id) != null) {
            mVersion++;
        }
    }

    /**
     * Checks whether an upstream is excluded.
     *
     * @param id id of the upstream
     * @param nowNs monotonic time
     * @return true while it is excluded
     */
    public boolean excluded(String id, long nowNs) {
        Long busyUntilNs = mBusyUntilNs.get(id);
        if (busyUntilNs != null && nowNs < busyUntilNs) {
            return true;
        }
        FailureState failure = mFailing.get(id);
        return failure != null && nowNs < failure.excludedUntilNs();
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
