package org.amaranthpick.core.route;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.board.Section;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;

/**
 * Learns from first tokens how much longer links and engines take than predicted. The prediction
 * error of a chain is spread evenly over its links and engines (least mean squares). Those that
 * other chains use without error are corrected back, so that the delay converges to the link or
 * engine at fault. Learnt delays decay exponentially, so that an avoided link or engine is tried
 * again.
 */
final class DelayEstimator {
    private static final double LEARNING_RATE = 0.3;
    private static final double DEADBAND_RATIO = 0.5;
    private static final long DEADBAND_NS = Duration.ofMillis(20).toNanos();
    private static final double HALF_LIFE_NS = Duration.ofSeconds(30).toNanos();
    private static final double MAX_DELAY_NS = Duration.ofSeconds(10).toNanos();

    private final Scheduler mScheduler;
    private final Section<DelayKey, Delay> mDelays = new Section<>();

    /**
     * Link or engine that a delay is learnt for.
     *
     * @param from upstream, or domain that a link starts in
     * @param to the same upstream, or domain that the link ends in
     */
    record DelayKey(Identity from, Identity to) {}

    /**
     * Learnt delay.
     *
     * @param delayNs time above the prediction, in nanoseconds, 0 or more
     * @param changedAtNs monotonic time of the last change
     */
    record Delay(double delayNs, long changedAtNs) {
        static final Delay NONE = new Delay(0, 0);
    }

    DelayEstimator(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /**
     * Returns the learnt delays.
     *
     * @return section with one entry per link or engine
     */
    Section<DelayKey, Delay> delays() {
        return mDelays;
    }

    /**
     * Returns the delay learnt for a link or an engine.
     *
     * @param from upstream, or domain that a link starts in
     * @param to the same upstream, or domain that the link ends in
     * @return nanoseconds
     */
    long delayNs(Identity from, Identity to) {
        Optional<Delay> delay = mDelays.get(new DelayKey(from, to));
        return delay.isEmpty() ? 0 : (long) decayedNs(delay.get());
    }

    /**
     * Corrects the delays of a chain by the time that its first token took.
     *
     * @param localDomain domain of this daemon
     * @param steps engines and layers of the chain
     * @param predictedNs predicted time, learnt delays included
     * @param elapsedNs measured time
     */
    void recordFirstToken(
            Identity localDomain, List<ChainStep> steps, long predictedNs, long elapsedNs) {
        double errorNs = elapsedNs - (double) predictedNs;
        if (Math.abs(errorNs) < DEADBAND_NS + DEADBAND_RATIO * predictedNs) {
            return;
        }
        List<DelayKey> keys = delayKeys(localDomain, steps);
        double correction = LEARNING_RATE * errorNs / keys.size();
        for (DelayKey key : keys) {
            mDelays.update(key, Delay.NONE, previous -> adjusted(previous, correction));
        }
    }

    private static List<DelayKey> delayKeys(Identity localDomain, List<ChainStep> steps) {
        List<DelayKey> keys = new ArrayList<>();
        Identity domain = localDomain;
        for (ChainStep step : steps) {
            Identity next = step.engine().domain();
            if (!next.equals(domain)) {
                keys.add(new DelayKey(domain, next));
            }
            keys.add(new DelayKey(step.engine().id(), step.engine().id()));
            domain = next;
        }
        return keys;
    }

    private Delay adjusted(Delay previous, double correction) {
        double next = Math.max(0, Math.min(MAX_DELAY_NS, decayedNs(previous) + correction));
        return new Delay(next, mScheduler.monotonicNs());
    }

    private double decayedNs(Delay delay) {
        long ageNs = mScheduler.monotonicNs() - delay.changedAtNs();
        return delay.delayNs() * Math.pow(0.5, ageNs / HALF_LIFE_NS);
    }
}
