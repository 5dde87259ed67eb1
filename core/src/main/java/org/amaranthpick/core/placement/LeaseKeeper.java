package org.amaranthpick.core.placement;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.store.StoredObject;

/**
 * Takes, renews and gives up the lease of one control shard. The holder counts its time from the
 * moment it sent a renewal; others count theirs from the moment they first saw it, and wait longer,
 * so that a holder stops believing before anyone may take over. Guarded by the shard's lock.
 */
public final class LeaseKeeper {
    private static final String KEY_PREFIX = "placement/lease/";
    private static final int MAX_BACKOFF_SHIFT = 6;
    private static final double JITTER = 0.2;

    private final String mShard;
    private final LeaseContext mContext;
    private final PlacementSettings mSettings;
    private final CasObject mObject;
    private final LongSupplier mFenceFloor;
    private final String mSelf;
    private final long mBootNonce;
    private Optional<Lease> mLease = Optional.empty();
    private long mHighestFence;
    private long mSeenVersion = -1;
    private long mSeenAtNs;
    private long mNextCallNs;
    private int mFailures;

    /**
     * Creates a keeper without a lease.
     *
     * @param shard key of the control shard
     * @param context what leases work with
     * @param lock lock of the shard
     * @param fenceFloor highest fencing number seen anywhere else, such as at engines
     */
    public LeaseKeeper(String shard, LeaseContext context, Object lock, LongSupplier fenceFloor) {
        mShard = shard;
        mContext = context;
        mSettings = context.settings();
        mObject = new CasObject(KEY_PREFIX + shard, context, lock);
        mFenceFloor = fenceFloor;
        mSelf = context.self();
        mBootNonce = context.writers().next().bootNonce();
    }

    /**
     * Returns the lease, if this process believes in it at this moment.
     *
     * @return lease, empty once it lapsed on the monotonic clock
     */
    public Optional<Lease> held() {
        long nowNs = mContext.scheduler().monotonicNs();
        return mLease.filter(lease -> nowNs < lease.believedUntilNs());
    }

    /**
     * Runs one step: renews a lease held, or looks after one that may be taken.
     *
     * @param rank rank of this daemon among the candidates, 0 first; empty if it is none
     */
    public void step(Optional<Integer> rank) {
        dropIfLapsed();
        if (mObject.busy() || mContext.scheduler().monotonicNs() < mNextCallNs) {
            return;
        }
        if (mLease.isPresent()) {
            renew(mLease.get());
        } else if (rank.isPresent()) {
            mObject.read(end -> onPolled(end, rank.get()));
        }
    }

    /** Gives up the lease, so that the next candidate need not wait for it to lapse. */
    public void release() {
        Optional<LeaseRecord> record = record();
        if (held().isEmpty() || record.isEmpty() || mObject.busy()) {
            mLease = Optional.empty();
            return;
        }
        mLease = Optional.empty();
        log("released fence " + record.get().fence());
        mObject.write(StoreJson.write(record.get().asReleased()), end -> {});
    }

    /** Stops believing in the lease; it is taken again only with a higher fencing number. */
    public void abandon() {
        mLease = Optional.empty();
        nextCallAfter(mSettings.renewPeriod());
    }

    private void dropIfLapsed() {
        if (mLease.isPresent() && held().isEmpty()) {
            log("lapsed, fence " + mLease.get().fence() + " is given up");
            mLease = Optional.empty();
            mNextCallNs = mContext.scheduler().monotonicNs();
        }
    }

    private void renew(Lease lease) {
        long sentNs = mContext.scheduler().monotonicNs();
        byte[] value = StoreJson.write(ownRecord(lease.fence()));
        mObject.write(value, end -> onRenewed(end, lease, sentNs));
    }

    private void onRenewed(CasObject.End end, Lease lease, long sentNs) {
        if (mLease.isEmpty()) {
            return;
        }
        if (end == CasObject.End.WRITTEN) {
            mLease = Optional.of(believed(lease.fence(), lease.acquiredNs(), sentNs));
            nextCallAfter(mSettings.renewPeriod());
        } else if (end == CasObject.End.FAILED) {
            nextCallAfter(mSettings.renewPeriod().dividedBy(4));
        } else {
            onRenewalConflict(lease);
        }
    }

    private void onRenewalConflict(Lease lease) {
        boolean still = record().filter(r -> isMine(r) && r.fence() == lease.fence()).isPresent();
        if (still) {
            nextCallAfter(Duration.ZERO);
            return;
        }
        log("lost fence " + lease.fence() + " to another holder");
        mLease = Optional.empty();
        nextCallAfter(mSettings.leaseDuration());
    }

    private void onPolled(CasObject.End end, int rank) {
        if (end == CasObject.End.FAILED) {
            backOff();
            return;
        }
        mFailures = 0;
        noteVersion();
        long waitNs = timeUntilFree(rank);
        if (waitNs <= 0) {
            take();
        } else {
            Duration poll = mSettings.renewPeriod().multipliedBy(1L << Math.min(rank, 2));
            nextCallAfter(Duration.ofNanos(Math.min(waitNs, poll.toNanos())));
        }
    }

    private void noteVersion() {
        long version = mObject.present().map(StoredObject::version).orElse(0L);
        if (version != mSeenVersion) {
            mSeenVersion = version;
            mSeenAtNs = mContext.scheduler().monotonicNs();
        }
        record().ifPresent(this::noteFence);
    }

    private void noteFence(LeaseRecord record) {
        mContext.invariants()
                .check(
                        Invariant.FENCE_NEVER_FALLS,
                        record.fence() >= mHighestFence,
                        "shard %s: fence %d after %d",
                        mShard,
                        record.fence(),
                        mHighestFence);
        mHighestFence = Math.max(mHighestFence, record.fence());
    }

    private long timeUntilFree(int rank) {
        Optional<LeaseRecord> record = record();
        long elapsedNs = mContext.scheduler().monotonicNs() - mSeenAtNs;
        long stepNs = mSettings.takeoverStep().toNanos() * rank;
        if (record.filter(LeaseRecord::released).isPresent()) {
            return stepNs - elapsedNs;
        }
        if (record.filter(this::isMine).isPresent()) {
            return 0;
        }
        long ownMs = mSettings.leaseDuration().toMillis();
        long durationMs = record.map(LeaseRecord::durationMs).orElse(ownMs);
        return Duration.ofMillis(durationMs).toNanos() + stepNs - elapsedNs;
    }

    private void take() {
        long fence = Math.max(mHighestFence, mFenceFloor.getAsLong()) + 1;
        long sentNs = mContext.scheduler().monotonicNs();
        mObject.write(StoreJson.write(ownRecord(fence)), end -> onTaken(end, fence, sentNs));
    }

    private void onTaken(CasObject.End end, long fence, long sentNs) {
        if (end == CasObject.End.WRITTEN) {
            long nowNs = mContext.scheduler().monotonicNs();
            noteVersion();
            mLease = Optional.of(believed(fence, nowNs, sentNs));
            log("taken with fence " + fence);
            nextCallAfter(mSettings.renewPeriod());
        } else if (end == CasObject.End.FAILED) {
            backOff();
        } else {
            noteVersion();
            nextCallAfter(mSettings.renewPeriod());
        }
    }

    private Lease believed(long fence, long acquiredNs, long sentNs) {
        Duration belief = mSettings.leaseDuration().minus(mSettings.leaseMargin());
        return new Lease(mShard, fence, acquiredNs, sentNs + belief.toNanos());
    }

    private void backOff() {
        mFailures = Math.min(mFailures + 1, MAX_BACKOFF_SHIFT);
        Duration longest = mSettings.renewPeriod().multipliedBy(1L << mFailures);
        Duration cap = mSettings.maxBackoff();
        long boundNs = Math.min(longest.toNanos(), cap.toNanos());
        mNextCallNs =
                mContext.scheduler().monotonicNs()
                        + mContext.random().nextLong(boundNs / 2, boundNs + 1);
    }

    private void nextCallAfter(Duration delay) {
        double factor = 1 - JITTER * mContext.random().nextDouble();
        mNextCallNs = mContext.scheduler().monotonicNs() + (long) (delay.toNanos() * factor);
    }

    private LeaseRecord ownRecord(long fence) {
        long durationMs = mSettings.leaseDuration().toMillis();
        return new LeaseRecord(mSelf, mBootNonce, fence, durationMs, false);
    }

    private boolean isMine(LeaseRecord record) {
        return record.holder().equals(mSelf) && record.bootNonce() == mBootNonce;
    }

    private Optional<LeaseRecord> record() {
        return mObject.present().flatMap(o -> StoreJson.read(o.value(), LeaseRecord.class));
    }

    private void log(String text) {
        mContext.decisions().record(DecisionKind.LEASE, mShard, text);
    }
}
