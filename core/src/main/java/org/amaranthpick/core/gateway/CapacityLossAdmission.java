package org.amaranthpick.core.gateway;

import java.time.Duration;
import java.util.Locale;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Limits the new requests of a model while most of its capacity is lost. Designed for the loss of
 * nearly all chains under full load, such as that of a failure domain while engines elsewhere fail:
 * without a limit all requests queue at the few chains that are left until their callers give up,
 * and none is served. Each daemon then keeps no more requests in progress than its part of what is
 * left, and refuses the others at once. Above that loss it admits all requests, since daemons have
 * uneven shares of the callers and no daemon knows how full the engines are. Confined to one
 * thread.
 */
public final class CapacityLossAdmission {
    /**
     * Fraction of the capacity of before from which on all requests are admitted. Below that of one
     * failure domain of five, which a daemon in a domain that is cut off shares with few others.
     */
    private static final double MIN_FRACTION_WITHOUT_LIMIT = 0.15;

    /** Time after which a daemon draws anew whether it rounds its part up or down. */
    private static final long ROUNDING_PERIOD_NS = 1_000_000_000L;

    /** Time for which the capacity must have been lost; engines are often excluded for less. */
    private static final long MIN_LOSS_NS = 500_000_000L;

    /** Time in which the memory of the highest capacity halves. */
    private static final double HALF_LIFE_NS = 60e9;

    /** Time until an engine that came back is registered and has its orders. */
    private static final Duration REGISTRATION_TIME = Duration.ofMillis(1500);

    private static final long NS_PER_MS = 1_000_000;

    private final IntSupplier mDaemons;
    private final RandomGenerator mRandom;
    private double mCapacityRequests;
    private double mHighestRequests;
    private long mUpdatedNs;
    private long mLostSinceNs = Long.MAX_VALUE;
    private double mRounding;
    private long mRoundedNs;

    /**
     * Creates an admission that knows no capacity yet and admits all requests.
     *
     * @param daemons returns the number of daemons
     * @param random source of the rounding
     */
    public CapacityLossAdmission(IntSupplier daemons, RandomGenerator random) {
        mDaemons = daemons;
        mRandom = random;
        mRounding = random.nextDouble();
    }

    /**
     * Records the capacity of the chains that can be used at present.
     *
     * @param requests usual requests that fit into their memory
     * @param nowNs monotonic time
     */
    public void onCapacity(double requests, long nowNs) {
        double decay = Math.pow(0.5, (nowNs - mUpdatedNs) / HALF_LIFE_NS);
        mHighestRequests = Math.max(requests, mHighestRequests * decay);
        mCapacityRequests = requests;
        mUpdatedNs = nowNs;
        if (requests >= MIN_FRACTION_WITHOUT_LIMIT * mHighestRequests) {
            mLostSinceNs = Long.MAX_VALUE;
        } else if (mLostSinceNs == Long.MAX_VALUE) {
            mLostSinceNs = nowNs;
        }
        if (nowNs - mRoundedNs >= ROUNDING_PERIOD_NS) {
            mRounding = mRandom.nextDouble();
            mRoundedNs = nowNs;
        }
    }

    /**
     * Checks whether most of the capacity has been lost for a while.
     *
     * @return true while new requests are limited
     */
    public boolean isLimiting() {
        return mLostSinceNs != Long.MAX_VALUE && mUpdatedNs - mLostSinceNs >= MIN_LOSS_NS;
    }

    /**
     * Decides on a new request. Parts are rounded at random, so that those of all daemons add up to
     * the capacity, and at least one request of all daemons is let through to find out whether the
     * capacity is back.
     *
     * @param inProgress requests of the model that this daemon has in progress
     * @return true to send it, false to refuse it at once
     */
    public boolean admits(int inProgress) {
        double part = Math.max(1, mCapacityRequests) / Math.max(1, mDaemons.getAsInt());
        return !isLimiting() || inProgress < (int) (part + mRounding);
    }

    /**
     * Describes the capacity for a log line.
     *
     * @param inProgress requests of the model that this daemon has in progress
     * @return figures
     */
    String describe(int inProgress) {
        return String.format(
                Locale.ROOT,
                "capacity %.1f of %.1f requests, daemons %d, in progress here %d, lost for %d ms",
                mCapacityRequests,
                mHighestRequests,
                mDaemons.getAsInt(),
                inProgress,
                isLimiting() ? (mUpdatedNs - mLostSinceNs) / NS_PER_MS : 0);
    }

    /**
     * Predicts the time until lost engines are back with their layers.
     *
     * @param model parameters of the model
     * @param stages usual number of engines of a chain
     * @return time
     */
    public static Duration repairTime(EngineModel model, double stages) {
        double loadSeconds = model.loadSeconds() / Math.max(1, stages);
        return REGISTRATION_TIME.plus(Duration.ofMillis((long) (loadSeconds * 1000)));
    }
}
