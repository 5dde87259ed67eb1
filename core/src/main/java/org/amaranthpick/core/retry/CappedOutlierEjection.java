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
 * Ejects an upstream after consecutive failures, for a time that doubles with each ejection. Only a
 * limited share of the upstreams of one domain and role is ejected at once, so that a common fault
 * never leaves a domain without upstreams.
 */
public final class CappedOutlierEjection implements OutlierEjection {
    private final Settings mSettings;
    private final ConfigurationView mConfiguration;
    private final Scheduler mScheduler;
    private final DecisionLog mLog;
    private final Map<Identity, FailureHistory> mHistory = new HashMap<>();
    private final Map<Identity, Long> mEjectedUntilNs = new ConcurrentHashMap<>();

    /** Failures and ejections of an upstream since its last success. */
    private static final class FailureHistory {
        private int mConsecutiveFailures;
        private int mEjections;
    }

    /**
     * Settings of the ejection.
     *
     * @param consecutiveFailures consecutive failures after which an upstream is ejected
     * @param maxDomainShare maximum ejected share of a domain's upstreams of one role, 0 to 1
     * @param firstEjection duration of the first ejection; doubles with each further one
     * @param maxEjection maximum duration of an ejection
     */
    public record Settings(
            int consecutiveFailures,
            double maxDomainShare,
            Duration firstEjection,
            Duration maxEjection) {
        /** Default settings. */
        public static final Settings DEFAULT =
                new Settings(3, 0.3, Duration.ofSeconds(5), Duration.ofSeconds(60));
    }

    /**
     * Creates an ejection without ejected upstreams.
     *
     * @param settings settings
     * @param configuration configuration with the domains and roles of upstreams
     * @param scheduler clock
     * @param log log of the decisions
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
        synchronized (mHistory) {
            mHistory.remove(upstream);
        }
    }

    @Override
    public void onFailure(Identity upstream, String reason) {
        synchronized (mHistory) {
            FailureHistory history =
                    mHistory.computeIfAbsent(upstream, key -> new FailureHistory());
            history.mConsecutiveFailures++;
            if (history.mConsecutiveFailures < mSettings.consecutiveFailures()
                    || ejected(upstream)) {
                return;
            }
            if (!underCap(upstream)) {
                mLog.record(
                        DecisionKind.EJECTION,
                        upstream.key(),
                        "not ejected despite failures: ejection limit of its domain reached");
                return;
            }
            eject(upstream, history, reason);
        }
    }

    @Override
    public boolean ejected(Identity upstream) {
        Long untilNs = mEjectedUntilNs.get(upstream);
        return untilNs != null && mScheduler.monotonicNs() < untilNs;
    }

    /**
     * Returns the upstreams that are ejected now.
     *
     * @return identities of the upstreams
     */
    public Set<Identity> ejectedNow() {
        mEjectedUntilNs.values().removeIf(untilNs -> mScheduler.monotonicNs() >= untilNs);
        return Set.copyOf(mEjectedUntilNs.keySet());
    }

    private void eject(Identity upstream, FailureHistory history, String reason) {
        long factor = 1L << Math.min(16, history.mEjections);
        long durationNs =
                Math.min(
                        mSettings.maxEjection().toNanos(),
                        mSettings.firstEjection().toNanos() * factor);
        history.mEjections++;
        history.mConsecutiveFailures = mSettings.consecutiveFailures() - 1;
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
        long total = 0;
        long ejected = 0;
        for (UpstreamSpec other : configuration.get().manifest().upstreams()) {
            if (other.domain().equals(spec.get().domain()) && other.role() == spec.get().role()) {
                total++;
                ejected += ejected(other.id()) ? 1 : 0;
            }
        }
        long cap = total < 2 ? 0 : Math.max(1, (long) (total * mSettings.maxDomainShare()));
        return ejected < cap;
    }
}
