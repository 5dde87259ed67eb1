package org.amaranthpick.core.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;

/**
 * Ejects an upstream after failures in a row, for a time that doubles with each ejection. At most a
 * share of the upstreams of one domain and role is ejected at once, so that a fault they have in
 * common never empties a domain.
 */
public final class CappedOutlierEjection implements OutlierEjection {
    private final Settings mSettings;
    private final ConfigurationView mConfiguration;
    private final Scheduler mScheduler;
    private final DecisionLog mLog;
    private final Map<Identity, Health> mHealth = new HashMap<>();
    private final Map<Identity, Long> mEjectedUntilNs = new ConcurrentHashMap<>();

    /** Failures of one upstream. */
    private static final class Health {
        private int mFailures;
        private int mEjections;
    }

    /**
     * Settings of the ejection.
     *
     * @param failures failures in a row that eject
     * @param domainShare share of a domain's upstreams of one role ejected at most, 0 to 1
     * @param first time of the first ejection; doubles with each that follows
     * @param longest longest time of an ejection
     */
    public record Settings(int failures, double domainShare, Duration first, Duration longest) {
        /** Settings for daily use. */
        public static final Settings DEFAULT =
                new Settings(3, 0.3, Duration.ofSeconds(5), Duration.ofSeconds(60));
    }

    /**
     * Creates an ejection without failures.
     *
     * @param settings settings
     * @param configuration configuration that tells the domains of upstreams
     * @param scheduler clock
     * @param log told of each decision
     */
    public CappedOutlierEjection(
            Settings settings,
            ConfigurationView configuration,
            Scheduler scheduler,
            DecisionLog log) {
        mSettings = settings;
        mConfiguration = configuration;
        mScheduler = scheduler;
        mLog = log;
    }

    @Override
    public void onSuccess(Identity upstream) {
        synchronized (mHealth) {
            mHealth.remove(upstream);
        }
    }

    @Override
    public void onFailure(Identity upstream, String reason) {
        synchronized (mHealth) {
            Health health = mHealth.computeIfAbsent(upstream, key -> new Health());
            health.mFailures++;
            if (health.mFailures < mSettings.failures() || ejected(upstream)) {
                return;
            }
            if (!underCap(upstream)) {
                mLog.record(
                        DecisionKind.EJECTION,
                        upstream.key(),
                        "kept in spite of failures: its domain has no ejection left");
                return;
            }
            eject(upstream, health, reason);
        }
    }

    @Override
    public boolean ejected(Identity upstream) {
        Long untilNs = mEjectedUntilNs.get(upstream);
        return untilNs != null && mScheduler.monotonicNs() < untilNs;
    }

    /**
     * Returns the upstreams ejected now.
     *
     * @return identities
     */
    public Set<Identity> ejectedNow() {
        mEjectedUntilNs.values().removeIf(untilNs -> mScheduler.monotonicNs() >= untilNs);
        return Set.copyOf(mEjectedUntilNs.keySet());
    }

    private void eject(Identity upstream, Health health, String reason) {
        long times = 1L << Math.min(16, health.mEjections);
        long durationNs =
                Math.min(mSettings.longest().toNanos(), mSettings.first().toNanos() * times);
        health.mEjections++;
        health.mFailures = mSettings.failures() - 1;
        mEjectedUntilNs.put(upstream, mScheduler.monotonicNs() + durationNs);
        mLog.record(
                DecisionKind.EJECTION,
                upstream.key(),
                "ejected for " + durationNs / 1_000_000 + " ms: " + reason);
    }

    private boolean underCap(Identity upstream) {
        Optional<Configuration> configuration = mConfiguration.current();
        Optional<UpstreamSpec> spec = configuration.flatMap(c -> c.upstream(upstream));
        if (spec.isEmpty()) {
            return true;
        }
        long all = 0;
        long out = 0;
        for (UpstreamSpec other : configuration.get().manifest().upstreams()) {
            if (other.domain().equals(spec.get().domain()) && other.role() == spec.get().role()) {
                all++;
                out += ejected(other.id()) ? 1 : 0;
            }
        }
        long cap = all < 2 ? 0 : Math.max(1, (long) (all * mSettings.domainShare()));
        return out < cap;
    }
}
