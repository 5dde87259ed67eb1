package org.amaranthpick.core.gateway.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts how often the requests of a priority, a size and a workspace are let in, next to all
 * requests. Designed for a long overload by urgent requests or by one workspace: without it a less
 * urgent kind, large requests or a small workspace would be served hardly ever. Counts decay and
 * are those of one daemon.
 */
final class ServedShares {
    private static final double HALF_LIFE_NS = 20e9;

    /** A group that is let in less often than all requests by this factor is behind. */
    private static final double MIN_RATIO = 0.4;

    /** The same for large requests, of which an operator expects half as many at the least. */
    private static final double MIN_LARGE_RATIO = 0.75;

    /** Work relative to a usual request from which on a request is large. */
    private static final double LARGE_WORK = 1.5;

    /** Requests that a group must have asked for before it can be behind. */
    private static final double MIN_ASKED = 4;

    /** Bounds the memory; groups without recent requests are forgotten above it. */
    private static final int MAX_GROUPS = 512;

    private static final String LARGE = "large";

    private final Counts mAll = new Counts();
    private final Map<String, Counts> mGroups = new HashMap<>();

    private static final class Counts {
        private double mAsked;
        private double mSent;
        private long mUpdatedNs;

        void decay(long nowNs) {
            double factor = Math.pow(0.5, (nowNs - mUpdatedNs) / HALF_LIFE_NS);
            mAsked *= factor;
            mSent *= factor;
            mUpdatedNs = nowNs;
        }

        void add(boolean first, boolean sent) {
            mAsked += first ? 1 : 0;
            mSent += sent ? 1 : 0;
        }

        double ratio() {
            return mAsked > 0 ? mSent / mAsked : 1;
        }
    }

    /**
     * Counts a decision.
     *
     * @param first whether it is the first attempt of the caller; each caller counts once
     */
    void onDecision(AdmissionCandidate candidate, boolean first, boolean sent, long nowNs) {
        if (mGroups.size() > MAX_GROUPS) {
            mGroups.values().forEach(counts -> counts.decay(nowNs));
            mGroups.values().removeIf(counts -> counts.mAsked < 1);
        }
        mAll.decay(nowNs);
        mAll.add(first, sent);
        for (String group : groups(candidate)) {
            if (mGroups.size() <= 2 * MAX_GROUPS || mGroups.containsKey(group)) {
                Counts counts = mGroups.computeIfAbsent(group, name -> new Counts());
                counts.decay(nowNs);
                counts.add(first, sent);
            }
        }
    }

    /** Returns whether a group that a request belongs to is let in much less often than others. */
    boolean isBehind(AdmissionCandidate candidate, long nowNs) {
        mAll.decay(nowNs);
        for (String group : groups(candidate)) {
            Counts counts = mGroups.get(group);
            if (counts != null) {
                counts.decay(nowNs);
                double minRatio = group.equals(LARGE) ? MIN_LARGE_RATIO : MIN_RATIO;
                if (counts.mAsked >= MIN_ASKED && counts.ratio() < minRatio * mAll.ratio()) {
                    return true;
                }
            }
        }
        return false;
    }

    private static List<String> groups(AdmissionCandidate candidate) {
        List<String> groups = new ArrayList<>();
        groups.add("priority " + candidate.priority());
        groups.add("workspace " + candidate.workspace().orElse(""));
        if (candidate.work().relative() >= LARGE_WORK) {
            groups.add(LARGE);
        }
        return groups;
    }
}
