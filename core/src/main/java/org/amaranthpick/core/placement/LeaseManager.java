package org.amaranthpick.core.placement;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.store.StoredObject;

/**
 * Acquires, renews and releases the lease of one control shard. The holder measures the lease from
 * the time it sent the last renewal. Other daemons measure it from the time they first saw that
 * renewal and wait longer, so that the holder treats the lease as expired before any other daemon
 * may take over.
 *
 * <p>A store that comes back from a copy may have lost a lease, or show one that was released or
 * taken since. In a new era of the store a daemon therefore acquires no lease until every lease of
 * the era before has expired; only the holder of a valid one may take its lease again at once.
 * Fencing numbers of later eras are higher. Guarded by the shard's lock.
 */
public final class LeaseManager {
    private static final String KEY_PREFIX = "placement/lease/";
    private static final int MAX_BACKOFF_SHIFT = 6;
    private static final double JITTER = 0.2;

    /** Fencing numbers that are reserved for each era of the store. */
    private static final long FENCES_PER_ERA = 1_000_000;

    private final String mShard;
    private final LeaseContext mContext;
    private final PlacementSettings mSettings;
    private final CasObject mObject;
    private final LongSupplier mFenceFloor;
    private final String mSelf;
    private final long mBootNonce;
    private Optional<Lease> mLease = Optional.empty();
    private long mHighestFence;
    private long mHighestStoredFence;
    private OptionalLong mEra = OptionalLong.empty();
    private long mLeaseEra;
    private long mNoOtherHolderFromNs;
    private long mLastSeenVersion = -1;
    private long mSeenAtNs;
    private long mNextCallNs;
    private int mFailures;

    /**
     * Creates an instance that does not hold the lease.
     *
     * @param shard key of the control shard
     * @param context dependencies of leases
     * @param lock lock of the shard
     * @param fenceFloor returns the highest fencing number seen elsewhere, such as at engines
     */
    public LeaseManager(String shard, LeaseContext context, Object lock, LongSupplier fenceFloor) {
        mShard = shard;
        mContext = context;
        mSettings = context.settings();
        mObject = new CasObject(KEY_PREFIX + shard, context, lock);
        mFenceFloor = fenceFloor;
        mSelf = context.self();
        mBootNonce = context.writers().next().bootNonce();
    }

    /**
     * Returns the lease if this process holds it at present.
     *
     * @return lease; empty if it is not held or has expired on the monotonic clock
     */
    public Optional<Lease> held() {
        long nowNs = mContext.scheduler().monotonicNs();
        return mLease.filter(lease -> nowNs < lease.validUntilNs());
    }

    /**
     * Runs one step: renews the lease if it is held; otherwise a candidate polls it and acquires it
     * if it is free.
     *
     * @param rank rank of this daemon among the candidates, starting at 0; empty if it is not a
     *     candidate
     */
    public void step(Optional<Integer> rank) {
        dropIfExpired();
        trackEra();
        if (mObject.isBusy() || mContext.scheduler().monotonicNs() < mNextCallNs) {
            return;
        }
        if (mLease.isPresent() && mLeaseEra != mEra.getAsLong()) {
            mObject.read(this::onReadInNewEra);
        } else if (mLease.isPresent()) {
            renew(mLease.get());
        } else if (rank.isPresent()) {
            mObject.read(result -> onPolled(result, rank.get()));
        }
    }

    /** Releases the lease, so that the next candidate need not wait until it expires. */
    public void release() {
        Optional<LeaseRecord> record = record();
        if (held().isEmpty() || record.isEmpty() || mObject.isBusy()) {
            mLease = Optional.empty();
            return;
        }
        mLease = Optional.empty();
        log("released fence " + record.get().fence());
        mObject.write(StoreJson.write(record.get().asReleased()), result -> {});
    }

    /** Stops using the lease; it is acquired again only with a higher fencing number. */
    public void abandon() {
        mLease = Optional.empty();
        scheduleNextCall(mSettings.renewPeriod());
    }

    private void dropIfExpired() {
        if (mLease.isPresent() && held().isEmpty()) {
            log("expired: fence " + mLease.get().fence() + " was not renewed in time");
            mLease = Optional.empty();
            mNextCallNs = mContext.scheduler().monotonicNs();
        }
    }

    /** Returns the era of the store; if it is a new one, begins to wait for leases of the last. */
    private long trackEra() {
        long era = mContext.store().era();
        if (mEra.isEmpty() || mEra.getAsLong() != era) {
            mEra = OptionalLong.of(era);
            mHighestStoredFence = 0;
            mNoOtherHolderFromNs =
                    mContext.scheduler().monotonicNs() + mSettings.leaseDuration().toNanos();
            mNextCallNs = mContext.scheduler().monotonicNs();
        }
        return era;
    }

    private void onReadInNewEra(CasObject.CallResult result) {
        if (result == CasObject.CallResult.FAILED) {
            scheduleNextCall(mSettings.renewPeriod().dividedBy(4));
            return;
        }
        trackEra();
        if (held().isPresent()) {
            acquire();
        }
    }

    private void renew(Lease lease) {
        long sentNs = mContext.scheduler().monotonicNs();
        byte[] value = StoreJson.write(ownRecord(lease.fence()));
        mObject.write(value, result -> onRenewed(result, lease, sentNs));
    }

    private void onRenewed(CasObject.CallResult result, Lease lease, long sentNs) {
        // What a write of the last era did to an object of the new one says nothing of the lease.
        if (mLease.isEmpty() || trackEra() != mLeaseEra) {
            return;
        }
        if (result == CasObject.CallResult.WRITTEN) {
            mLease = Optional.of(createLease(lease.fence(), lease.acquiredNs(), sentNs));
            scheduleNextCall(mSettings.renewPeriod());
        } else if (result == CasObject.CallResult.FAILED) {
            scheduleNextCall(mSettings.renewPeriod().dividedBy(4));
        } else {
            onRenewalConflict(lease);
        }
    }

    private void onRenewalConflict(Lease lease) {
        boolean stillOwn = record().filter(r -> isOwn(r) && r.fence() == lease.fence()).isPresent();
        if (stillOwn) {
            scheduleNextCall(Duration.ZERO);
            return;
        }
        log("lost fence " + lease.fence() + " to another holder");
        mLease = Optional.empty();
        scheduleNextCall(mSettings.leaseDuration());
    }

    private void onPolled(CasObject.CallResult result, int rank) {
        if (result == CasObject.CallResult.FAILED) {
            backOff();
            return;
        }
        mFailures = 0;
        trackEra();
        trackVersion();
        long waitNs = timeUntilFree(rank);
        if (waitNs <= 0) {
            acquire();
        } else {
            Duration poll = mSettings.renewPeriod().multipliedBy(1L << Math.min(rank, 2));
            scheduleNextCall(Duration.ofNanos(Math.min(waitNs, poll.toNanos())));
        }
    }

    private void trackVersion() {
        long version = mObject.latest().map(StoredObject::version).orElse(0L);
        if (version != mLastSeenVersion) {
            mLastSeenVersion = version;
            mSeenAtNs = mContext.scheduler().monotonicNs();
        }
        record().ifPresent(this::trackFence);
    }

    private void trackFence(LeaseRecord record) {
        mHighestFence = Math.max(mHighestFence, record.fence());
        // Records of earlier eras may be from the copy, or written late.
        if (record.fence() <= mEra.getAsLong() * FENCES_PER_ERA) {
            return;
        }
        mContext.invariants()
                .check(
                        Invariant.FENCE_NEVER_FALLS,
                        record.fence() >= mHighestStoredFence,
                        "shard %s: stored fence %d after fence %d",
                        mShard,
                        record.fence(),
                        mHighestStoredFence);
        mHighestStoredFence = Math.max(mHighestStoredFence, record.fence());
    }

    /**
     * Returns the nanoseconds until a candidate may acquire the lease; 0 or less if it may do so
     * now.
     */
    private long timeUntilFree(int rank) {
        Optional<LeaseRecord> record = record();
        long nowNs = mContext.scheduler().monotonicNs();
        long elapsedNs = nowNs - mSeenAtNs;
        long stepNs = mSettings.takeoverStep().toNanos() * rank;
        long minWaitNs = mNoOtherHolderFromNs - nowNs;
        if (record.filter(LeaseRecord::released).isPresent()) {
            return Math.max(minWaitNs, -elapsedNs) + stepNs;
        }
        if (record.filter(this::isOwn).isPresent()) {
            return Math.max(minWaitNs, 0);
        }
        long ownMs = mSettings.leaseDuration().toMillis();
        long durationMs = record.map(LeaseRecord::durationMs).orElse(ownMs);
        long expiryNs = Duration.ofMillis(durationMs).toNanos() - elapsedNs;
        return Math.max(minWaitNs, expiryNs) + stepNs;
    }

    private void acquire() {
        long era = mEra.getAsLong();
        long highest = Math.max(mHighestFence, mFenceFloor.getAsLong());
        long fence = Math.max(highest, era * FENCES_PER_ERA) + 1;
        long sentNs = mContext.scheduler().monotonicNs();
        mObject.write(
                StoreJson.write(ownRecord(fence)),
                result -> onAcquired(result, era, fence, sentNs));
    }

    private void onAcquired(CasObject.CallResult result, long era, long fence, long sentNs) {
        if (trackEra() != era) {
            return;
        }
        if (result == CasObject.CallResult.WRITTEN) {
            long nowNs = mContext.scheduler().monotonicNs();
            trackVersion();
            mLease = Optional.of(createLease(fence, nowNs, sentNs));
            mLeaseEra = era;
            log("acquired with fence " + fence);
            scheduleNextCall(mSettings.renewPeriod());
        } else if (result == CasObject.CallResult.FAILED) {
            backOff();
        } else {
            trackVersion();
            scheduleNextCall(mSettings.renewPeriod());
        }
    }

    private Lease createLease(long fence, long acquiredNs, long sentNs) {
        Duration validFor = mSettings.leaseDuration().minus(mSettings.leaseMargin());
        return new Lease(mShard, fence, acquiredNs, sentNs + validFor.toNanos());
    }

    private void backOff() {
        mFailures = Math.min(mFailures + 1, MAX_BACKOFF_SHIFT);
        Duration backoff = mSettings.renewPeriod().multipliedBy(1L << mFailures);
        Duration maxBackoff = mSettings.maxBackoff();
        long boundNs = Math.min(backoff.toNanos(), maxBackoff.toNanos());
        mNextCallNs =
                mContext.scheduler().monotonicNs()
                        + mContext.random().nextLong(boundNs / 2, boundNs + 1);
    }

    private void scheduleNextCall(Duration delay) {
        double factor = 1 - JITTER * mContext.random().nextDouble();
        mNextCallNs = mContext.scheduler().monotonicNs() + (long) (delay.toNanos() * factor);
    }

    private LeaseRecord ownRecord(long fence) {
        long durationMs = mSettings.leaseDuration().toMillis();
        return new LeaseRecord(mSelf, mBootNonce, fence, durationMs, false);
    }

    private boolean isOwn(LeaseRecord record) {
        return record.holder().equals(mSelf) && record.bootNonce() == mBootNonce;
    }

    private Optional<LeaseRecord> record() {
        return mObject.latest().flatMap(o -> StoreJson.read(o.value(), LeaseRecord.class));
    }

    private void log(String text) {
        mContext.decisions().record(DecisionKind.LEASE, mShard, text);
    }
}
