package org.amaranthpick.core.reach;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Direct paths of this daemon to the upstreams. A connection that fails shows that the upstream or
 * the path is at fault; another daemon that reaches the upstream at that moment tells which.
 * Designed for hosts that lose their links to some or all upstreams while their callers, the store
 * and the other hosts still reach them. A path that was found broken is used again once a probe got
 * through; a probe sends no request. Confined to one thread.
 */
public final class UpstreamPaths {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /**
     * Number of broken paths in a row after which all direct paths count as broken. An answer of
     * any upstream over its direct path ends the row.
     */
    private static final int BROKEN_PATHS_OF_PARTITION = 2;

    /** The same for failed paths of which no daemon could say whether the upstream is at fault. */
    private static final int FAILURES_OF_PARTITION = 3;

    private static final int BROKEN_PATHS_PER_PROBE = 3;
    private static final int MAX_BROKEN_PATHS = 4096;

    private final Set<String> mBroken = new LinkedHashSet<>();
    private final Set<String> mBrokenInARow = new LinkedHashSet<>();
    private final Set<String> mFailedInARow = new LinkedHashSet<>();
    private String mLastAnsweredId = "";
    private long mLastAnsweredNs = Long.MIN_VALUE / 2;
    private String mOtherAnsweredId = "";
    private long mOtherAnsweredNs = Long.MIN_VALUE / 2;
    private boolean mPartitioned;
    private Runnable mOnPartitioned = () -> {};

    /**
     * Sets the task that runs when all direct paths have been found broken.
     *
     * @param onPartitioned the task
     */
    public void setOnPartitioned(Runnable onPartitioned) {
        mOnPartitioned = onPartitioned;
    }

    /**
     * Records that an upstream answered over its direct path.
     *
     * @param id id of the upstream
     * @param nowNs monotonic time
     */
    public void onAnswered(String id, long nowNs) {
        if (!id.equals(mLastAnsweredId)) {
            mOtherAnsweredId = mLastAnsweredId;
            mOtherAnsweredNs = mLastAnsweredNs;
            mLastAnsweredId = id;
        }
        mLastAnsweredNs = nowNs;
        mBroken.remove(id);
        mBrokenInARow.clear();
        mFailedInARow.clear();
        if (mPartitioned) {
            mPartitioned = false;
            sLogger.atInfo().log("path: partition ended, upstream=%s answers", id);
        }
    }

    /**
     * Records a broken path: another daemon reaches the upstream to which the direct path failed.
     *
     * @param id id of the upstream
     */
    public void onBroken(String id) {
        if (mBroken.size() < MAX_BROKEN_PATHS && mBroken.add(id)) {
            sLogger.atInfo().log("path: upstream=%s broken, another daemon reaches it", id);
        }
        if (mBrokenInARow.size() < MAX_BROKEN_PATHS) {
            mBrokenInARow.add(id);
        }
        onFailed(id);
    }

    /**
     * Records that a direct path failed and no other daemon knows whether the upstream is at fault.
     *
     * @param id id of the upstream
     */
    public void onFailed(String id) {
        if (mFailedInARow.size() < MAX_BROKEN_PATHS) {
            mFailedInARow.add(id);
        }
        boolean partitioned =
                mBrokenInARow.size() >= BROKEN_PATHS_OF_PARTITION
                        || mFailedInARow.size() >= FAILURES_OF_PARTITION;
        if (partitioned && !mPartitioned) {
            mPartitioned = true;
            sLogger.atWarning().log(
                    "path: partition, broken=%s failed=%s", mBrokenInARow, mFailedInARow);
            mOnPartitioned.run();
        }
    }

    /**
     * Records that another daemon, which reaches other upstreams, does not reach this one either.
     *
     * @param id id of the upstream
     */
    public void onUpstreamFault(String id) {
        mBroken.remove(id);
        mBrokenInARow.remove(id);
        mFailedInARow.remove(id);
    }

    /**
     * Checks whether the direct path to an upstream is to be used.
     *
     * @param id id of the upstream
     * @return false if it is known to be broken
     */
    public boolean isDirect(String id) {
        return !mPartitioned && !mBroken.contains(id);
    }

    /**
     * Checks whether all direct paths count as broken.
     *
     * @return true until a probe gets through
     */
    public boolean isPartitioned() {
        return mPartitioned;
    }

    /**
     * Checks whether no direct path is known to be broken.
     *
     * @return false while there are paths to probe
     */
    public boolean isWhole() {
        return mBroken.isEmpty() && !mPartitioned;
    }

    /**
     * Checks whether another upstream has answered over its direct path since a time.
     *
     * @param id id of the upstream that does not count
     * @param sinceNs monotonic time
     * @return true if one has
     */
    public boolean othersAnsweredSince(String id, long sinceNs) {
        long answeredNs = id.equals(mLastAnsweredId) ? mOtherAnsweredNs : mLastAnsweredNs;
        return answeredNs >= sinceNs;
    }

    /**
     * Returns another upstream that answered lately. If it is reached now and the first one is not,
     * the first one is at fault.
     *
     * @param id id of the upstream that is not reached
     * @return id, empty if none has answered yet
     */
    public Optional<String> witnessFor(String id) {
        String witness = id.equals(mLastAnsweredId) ? mOtherAnsweredId : mLastAnsweredId;
        return Optional.of(witness).filter(other -> !other.isEmpty());
    }

    /**
     * Returns the upstreams to probe now: some of those whose paths are broken, and any one in a
     * partition.
     *
     * @param registered ids of all registered upstreams; others are forgotten
     * @param random source of the choice
     * @return ids, empty while no path is broken
     */
    public List<String> probeTargets(List<String> registered, RandomGenerator random) {
        if (mBroken.isEmpty() && !mPartitioned) {
            return List.of();
        }
        mBroken.retainAll(Set.copyOf(registered));
        List<String> targets = new ArrayList<>(mBroken);
        while (targets.size() > BROKEN_PATHS_PER_PROBE) {
            targets.remove(random.nextInt(targets.size()));
        }
        if (mPartitioned && !registered.isEmpty()) {
            targets.add(registered.get(random.nextInt(registered.size())));
        }
        return targets.stream().distinct().toList();
    }
}
