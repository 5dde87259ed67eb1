package org.amaranthpick.core.route;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.board.Section;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;

/**
 * Learns how much longer links and engines take than predicted, from first tokens. The surplus of a
 * chain is spread over its parts (least mean squares); parts that other chains use without surplus
 * lose theirs again, so that it stays with the part at fault. What is not used is forgotten.
 */
final class DelayEstimator {
    private static final double STEP = 0.3;
    private static final double DEADBAND_SHARE = 0.5;
    private static final long DEADBAND_NS = Duration.ofMillis(20).toNanos();
    private static final double HALF_LIFE_NS = Duration.ofSeconds(30).toNanos();
    private static final double MAX_DELAY_NS = Duration.ofSeconds(10).toNanos();

    private final Scheduler mScheduler;
    private final Section<DelayKey, Delay> mDelays = new Section<>();

    /**
     * Part of a chain.
     *
     * @param from upstream, or domain that a link starts in
     * @param to the same upstream, or domain that the link ends in
     */
    record DelayKey(Identity from, Identity to) {}

    /**
     * Delay learnt.
     *
     * @param delayNs surplus over the prediction, 0 or more
     * @param atNs monotonic time of the last change
     */
    record Delay(double delayNs, long atNs) {
        static final Delay NONE = new Delay(0, 0);
    }

    DelayEstimator(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /**
     * Returns the section of learnt delays.
     *
     * @return section by part
     */
    Section<DelayKey, Delay> delays() {
        return mDelays;
    }

    /**
     * Returns the delay learnt for a part.
     *
     * @param from upstream, or domain that a link starts in
     * @param to the same upstream, or domain that the link ends in
     * @return nanoseconds
     */
    long delayNs(Identity from, Identity to) {
        Optional<Delay> delay = mDelays.get(new DelayKey(from, to));
        return delay.isEmpty() ? 0 : (long) faded(delay.get());
    }

    /**
     * Takes one first token.
     *
     * @param entry domain of this daemon
     * @param steps parts of the chain
     * @param predictedNs prediction, learnt delays included
     * @param elapsedNs time that it took
     */
    void observe(Identity entry, List<Step> steps, long predictedNs, long elapsedNs) {
        double error = elapsedNs - (double) predictedNs;
        if (Math.abs(error) < DEADBAND_NS + DEADBAND_SHARE * predictedNs) {
            return;
        }
        List<DelayKey> keys = keys(entry, steps);
        double change = STEP * error / keys.size();
        for (DelayKey key : keys) {
            mDelays.update(key, Delay.NONE, old -> changed(old, change));
        }
    }

    private static List<DelayKey> keys(Identity entry, List<Step> steps) {
        List<DelayKey> keys = new ArrayList<>();
        Identity domain = entry;
        for (Step step : steps) {
            Identity next = step.engine().domain();
            if (!next.equals(domain)) {
                keys.add(new DelayKey(domain, next));
            }
            keys.add(new DelayKey(step.engine().id(), step.engine().id()));
            domain = next;
        }
        return keys;
    }

    private Delay changed(Delay old, double change) {
        double next = Math.max(0, Math.min(MAX_DELAY_NS, faded(old) + change));
        return new Delay(next, mScheduler.monotonicNs());
    }

    private double faded(Delay delay) {
        long ageNs = mScheduler.monotonicNs() - delay.atNs();
        return delay.delayNs() * Math.pow(0.5, ageNs / HALF_LIFE_NS);
    }
}
