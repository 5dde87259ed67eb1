package org.amaranthpick.core.register;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Upstreams that are leaving by what their own answers say, ahead of the register or while it
 * cannot be read. A notice holds until the incarnation ends, since no upstream comes back from
 * leaving. What other daemons report holds for a time only, so that an upstream that a report is
 * wrong about is not lost. Confined to one thread.
 */
public final class LeavingNotices {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Time for which a report of another daemon counts, if no answer confirms it. */
    static final Duration REPORT_LIFETIME = Duration.ofSeconds(10);

    /** Number of notices from which all are forgotten; more than leave at a time. */
    private static final int MAX_NOTICES = 4096;

    private final Set<Incarnation> mLeaving = new HashSet<>();
    private final Map<String, Long> mReportedUntilNs = new HashMap<>();
    private UpstreamHealth.Listener mListener = (id, kind) -> {};
    private long mVersion;

    private record Incarnation(String id, long startedAtMs) {
        static Incarnation of(UpstreamEntry upstream) {
            return new Incarnation(upstream.id(), upstream.startedAtMs());
        }
    }

    /**
     * Sets the listener of this daemon's own observations.
     *
     * @param listener the listener
     */
    public void setListener(UpstreamHealth.Listener listener) {
        mListener = listener;
    }

    /**
     * Records an answer in which an upstream says that it is leaving.
     *
     * @param upstream the upstream
     */
    public void onNotice(UpstreamEntry upstream) {
        if (mLeaving.size() >= MAX_NOTICES) {
            mLeaving.clear();
        }
        if (mLeaving.add(Incarnation.of(upstream))) {
            mVersion++;
            sLogger.atInfo().log(
                    "leaving: upstream=%s address=%s by its answer",
                    upstream.id(), upstream.address());
            mListener.onObservation(upstream.id(), HealthNote.Kind.LEAVING);
        }
    }

    /**
     * Records what another daemon reports.
     *
     * @param id id of the upstream
     * @param nowNs monotonic time
     * @return whether it was news
     */
    public boolean onReported(String id, long nowNs) {
        mReportedUntilNs.values().removeIf(untilNs -> nowNs >= untilNs);
        boolean known = mLeaving.stream().anyMatch(incarnation -> incarnation.id().equals(id));
        if (known || mReportedUntilNs.size() >= MAX_NOTICES || mReportedUntilNs.containsKey(id)) {
            return false;
        }
        mReportedUntilNs.put(id, nowNs + REPORT_LIFETIME.toNanos());
        mVersion++;
        return true;
    }

    /**
     * Checks whether an upstream is leaving.
     *
     * @param upstream entry in the register
     * @param nowNs monotonic time
     * @return true if the register or the upstream itself says so, or lately another daemon
     */
    public boolean isLeaving(UpstreamEntry upstream, long nowNs) {
        if (upstream.leaving() || mLeaving.contains(Incarnation.of(upstream))) {
            return true;
        }
        Long untilNs = mReportedUntilNs.get(upstream.id());
        return untilNs != null && nowNs < untilNs;
    }

    /**
     * Returns a version that increases with every new notice.
     *
     * @return version of the notices in this process
     */
    public long version() {
        return mVersion;
    }
}
