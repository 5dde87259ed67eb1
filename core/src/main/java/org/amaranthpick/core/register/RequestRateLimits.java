package org.amaranthpick.core.register;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Limits on the rate of requests to upstreams, as the upstreams name them in their responses. Each
 * limit holds for all daemons together. The daemons of an upstream are few enough that each may
 * save up one request, and share its rate evenly; the others send it one now and then, to find out
 * whether it still names a limit. Every daemon derives the same assignment from the same list of
 * daemons, so that the sum holds without messages, also while some are cut off. Confined to one
 * thread.
 */
public final class RequestRateLimits {
    /** Part of the rate that daemons without a share use to ask for the limit. */
    private static final double INQUIRY_FRACTION = 0.1;

    /** Time in which a daemon without a share may ask; it is not made up for later. */
    private static final Duration INQUIRY_SLOT = Duration.ofSeconds(1);

    /** Lowest rate that is used, so that the end of a limit of zero is noticed. */
    private static final double MIN_PER_SECOND = 0.2;

    /** Requests that all daemons together may have saved up, beside those of some seconds. */
    private static final double SAVED_REQUESTS = 4;

    /** Seconds of the rate that all daemons together may have saved up. */
    private static final double SAVED_SECONDS = 1.5;

    /** Number of limits from which those of upstreams that are gone are forgotten. */
    private static final int MIN_UPSTREAMS_TO_FORGET = 64;

    private static final double NS_PER_S = 1e9;

    private final String mSelf;
    private final Supplier<List<String>> mOthers;
    private final IntSupplier mDaemons;
    private final Predicate<String> mIsRegistered;
    private final RandomGenerator mRandom;
    private final Map<String, Limit> mLimits = new HashMap<>();
    private Listener mListener = id -> {};

    /** Receives this daemon's observation that an upstream names no limit any more. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Handles the end of a limit.
         *
         * @param upstreamId id of the upstream
         */
        void onUnlimited(String upstreamId);
    }

    /** Limit of one upstream and the requests that this daemon may send to it. */
    private final class Limit {
        private final String mUpstreamId;
        private double mPerSecond = -1;
        private List<String> mOthersAtAssignment = List.of();
        private int mDaemonsAtAssignment;
        private boolean mHasShare;
        private int mSharers;
        private double mTokens = mRandom.nextDouble();
        private long mUpdatedNs;
        private long mInquiryNs;

        Limit(String upstreamId, long nowNs) {
            mUpstreamId = upstreamId;
            mUpdatedNs = nowNs;
        }

        void setRate(double perSecond, long nowNs) {
            refill(nowNs);
            if (perSecond != mPerSecond) {
                mPerSecond = perSecond;
                assign(nowNs);
            }
        }

        private void updateAssignment(long nowNs) {
            List<String> others = mOthers.get();
            int daemons = mDaemons.getAsInt();
            if (daemons == mDaemonsAtAssignment && others.equals(mOthersAtAssignment)) {
                mOthersAtAssignment = others;
            } else {
                assign(nowNs);
            }
        }

        /** Shares the rate evenly among all daemons while this daemon has no list of them. */
        private void assign(long nowNs) {
            mOthersAtAssignment = mOthers.get();
            mDaemonsAtAssignment = mDaemons.getAsInt();
            int daemons = mDaemonsAtAssignment;
            if (daemons > 1 + mOthersAtAssignment.size()) {
                mSharers = daemons;
                mHasShare = true;
                return;
            }
            mSharers = (int) Math.min(daemons, SAVED_REQUESTS + SAVED_SECONDS * mPerSecond);
            long ownRank = rank(mSelf);
            long before =
                    mOthersAtAssignment.stream().filter(other -> rank(other) < ownRank).count();
            mHasShare = before < mSharers;
            scheduleInquiry(nowNs);
        }

        private long rank(String daemon) {
            return Hashing.komihash5_0()
                    .hashStream()
                    .putString(mUpstreamId)
                    .putString(daemon)
                    .getAsLong();
        }

        private void scheduleInquiry(long nowNs) {
            double others = 1 + mOthersAtAssignment.size() - mSharers;
            double meanS = others / (INQUIRY_FRACTION * mPerSecond);
            mInquiryNs = nowNs + (long) (mRandom.nextDouble() * 2 * meanS * NS_PER_S);
        }

        private void refill(long nowNs) {
            if (mHasShare) {
                double most = Math.max(1, (SAVED_REQUESTS + SAVED_SECONDS * mPerSecond) / mSharers);
                double elapsedS = (nowNs - mUpdatedNs) / NS_PER_S;
                mTokens = Math.min(most, mTokens + elapsedS * mPerSecond / mSharers);
            }
            mUpdatedNs = nowNs;
        }

        boolean allows(long nowNs) {
            refill(nowNs);
            updateAssignment(nowNs);
            if (mHasShare) {
                return mTokens >= 1;
            }
            if (nowNs - mInquiryNs > INQUIRY_SLOT.toNanos()) {
                scheduleInquiry(nowNs);
            }
            return nowNs >= mInquiryNs;
        }

        void onSent(long nowNs) {
            refill(nowNs);
            mTokens = Math.max(0, mTokens - 1);
            if (!mHasShare) {
                scheduleInquiry(nowNs + INQUIRY_SLOT.toNanos());
            }
        }
    }

    /**
     * Creates limits, none at first.
     *
     * @param self address of this daemon, as the others list it
     * @param others returns the addresses of the other daemons
     * @param daemons returns the number of daemons, more than are listed while the list is unknown
     * @param isRegistered tells whether an upstream is registered, by its id
     * @param random source of random times
     */
    public RequestRateLimits(
            String self,
            Supplier<List<String>> others,
            IntSupplier daemons,
            Predicate<String> isRegistered,
            RandomGenerator random) {
        mSelf = self;
        mOthers = others;
        mDaemons = daemons;
        mIsRegistered = isRegistered;
        mRandom = random;
    }

    /**
     * Sets the listener of this daemon's own observations.
     *
     * @param listener the listener
     */
    public void setListener(Listener listener) {
        mListener = listener;
    }

    /**
     * Records what an upstream's response says of its limit.
     *
     * @param upstreamId id of the upstream
     * @param perSecond requests per second from all daemons, empty if it names no limit
     * @param nowNs monotonic time
     */
    public void onResponse(String upstreamId, OptionalDouble perSecond, long nowNs) {
        if (perSecond.isPresent()) {
            mLimits.computeIfAbsent(upstreamId, id -> new Limit(id, nowNs))
                    .setRate(Math.max(MIN_PER_SECOND, perSecond.getAsDouble()), nowNs);
            if (mLimits.size() > MIN_UPSTREAMS_TO_FORGET) {
                mLimits.keySet().removeIf(id -> !mIsRegistered.test(id));
            }
        } else if (mLimits.remove(upstreamId) != null) {
            mListener.onUnlimited(upstreamId);
        }
    }

    /**
     * Records another daemon's observation that an upstream names no limit any more.
     *
     * @param upstreamId id of the upstream
     * @return true if a limit was known
     */
    public boolean onReportedUnlimited(String upstreamId) {
        return mLimits.remove(upstreamId) != null;
    }

    /**
     * Checks whether this daemon may send an upstream a request now.
     *
     * @param upstreamId id of the upstream
     * @param nowNs monotonic time
     * @return false if that would exceed this daemon's share of its limit
     */
    public boolean allows(String upstreamId, long nowNs) {
        Limit limit = mLimits.get(upstreamId);
        return limit == null || limit.allows(nowNs);
    }

    /**
     * Records a request that is sent to an upstream.
     *
     * @param upstreamId id of the upstream
     * @param nowNs monotonic time
     */
    public void onSent(String upstreamId, long nowNs) {
        Limit limit = mLimits.get(upstreamId);
        if (limit != null) {
            limit.onSent(nowNs);
        }
    }
}
