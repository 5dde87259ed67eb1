package org.amaranthpick.tools;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Counts, in the log of one or several hosts in the order of time, the requests of each host that
 * ended without a whole answer beside planned work. Keeps a few numbers for each host.
 */
final class CutReport {
    private static final long STOP_MARGIN_MS = 1000;
    private static final long NEVER_MS = Long.MIN_VALUE;

    /** Outcomes whose own line says that there is no whole answer. */
    private static final Set<String> CUT_OUTCOMES = Set.of("broken", "gone");

    private static final Set<String> NO_ENDS = Set.of("attempt", "unread");

    private final String mUnnamedHost;
    private final Reach mReach;
    private final Set<String> mFurtherCuts;
    private final Map<String, Host> mHosts = new TreeMap<>();
    private final Map<String, Long> mOutcomes = new TreeMap<>();
    private OptionalLong mVersion = OptionalLong.empty();
    private long mChangedMs = NEVER_MS;
    private String mStartedHost;

    /**
     * What is within reach of planned work.
     *
     * @param configurationMs time for which a version is within reach, ms
     * @param graceMs grace of a stop, ms
     * @param stopsApart whether ends beside a stop are neither beside a configuration nor elsewhere
     */
    record Reach(long configurationMs, long graceMs, boolean stopsApart) {}

    /** What is kept of a host. */
    private static final class Host {
        private final CutCounts mCounts = new CutCounts();
        private long mStopUntilMs = NEVER_MS;
        private boolean mStopping;
    }

    /**
     * Creates a report without lines.
     *
     * @param unnamedHost name of the host whose lines name none, until it says its name
     * @param reach what is within reach
     * @param furtherCuts outcomes that count as cuts besides broken and gone
     */
    CutReport(String unnamedHost, Reach reach, Set<String> furtherCuts) {
        mUnnamedHost = unnamedHost;
        mStartedHost = unnamedHost;
        mReach = reach;
        mFurtherCuts = furtherCuts;
    }

    /** Handles the next line of the log. */
    void take(String text) {
        LogLine.read(text).ifPresent(this::take);
    }

    private void take(LogLine line) {
        if (line.text().startsWith("start: ")) {
            mStartedHost = line.field("host").orElse(mUnnamedHost);
            host(line).mStopping = false;
        } else if (line.text().startsWith("config: in force ")) {
            onVersion(line);
        } else if (line.text().startsWith("stop: draining ")) {
            Host host = host(line);
            host.mStopping = true;
            host.mStopUntilMs = line.timeMs().orElse(NEVER_MS) + mReach.graceMs() + STOP_MARGIN_MS;
        } else if (line.text().startsWith("request: id=")) {
            onRequest(line);
        } else if (line.text().startsWith("unanswered: id=")) {
            onUnanswered(line);
        }
    }

    private Host host(LogLine line) {
        return mHosts.computeIfAbsent(line.host().orElse(mStartedHost), name -> new Host());
    }

    /** A version is within reach of all hosts from the first one at which it comes into force. */
    private void onVersion(LogLine line) {
        long version = Long.parseLong(line.field("version").orElse("-1"));
        if (mVersion.isEmpty()) {
            mVersion = OptionalLong.of(version);
        } else if (version > mVersion.getAsLong()) {
            mVersion = OptionalLong.of(version);
            mChangedMs = line.timeMs().orElse(NEVER_MS);
        }
    }

    private void onRequest(LogLine line) {
        String outcome = line.field("outcome").orElse("");
        if (NO_ENDS.contains(outcome)) {
            return;
        }
        mOutcomes.merge(outcome, 1L, Long::sum);
        Host host = host(line);
        CutCounts.Beside beside = beside(line, host);
        host.mCounts.addRequest(beside);
        if (CUT_OUTCOMES.contains(outcome) || mFurtherCuts.contains(outcome)) {
            host.mCounts.addCut(beside);
        }
    }

    /** Counts a request whose outcome, if it has one, says that it was answered. */
    private void onUnanswered(LogLine line) {
        String outcome = line.field("outcome").orElse("none");
        if (CUT_OUTCOMES.contains(outcome) || mFurtherCuts.contains(outcome)) {
            return;
        }
        mOutcomes.merge(line.field("reason").orElse("unanswered"), 1L, Long::sum);
        Host host = host(line);
        CutCounts.Beside beside = beside(line, host);
        host.mCounts.addCut(beside);
        if (outcome.equals("none")) {
            host.mCounts.addRequest(beside);
        }
    }

    private CutCounts.Beside beside(LogLine line, Host host) {
        if (line.timeMs().isEmpty()) {
            return besideWithoutTime(line, host);
        }
        long nowMs = line.timeMs().getAsLong();
        if (mReach.stopsApart() && nowMs <= host.mStopUntilMs) {
            return CutCounts.Beside.STOP;
        }
        boolean near = mChangedMs != NEVER_MS && nowMs <= mChangedMs + mReach.configurationMs();
        return near ? CutCounts.Beside.CONFIGURATION : CutCounts.Beside.ELSEWHERE;
    }

    private CutCounts.Beside besideWithoutTime(LogLine line, Host host) {
        if (mReach.stopsApart() && host.mStopping) {
            return CutCounts.Beside.STOP;
        }
        return line.field("config_age_ms")
                .map(Long::parseLong)
                .map(
                        ageMs ->
                                ageMs <= mReach.configurationMs()
                                        ? CutCounts.Beside.CONFIGURATION
                                        : CutCounts.Beside.ELSEWHERE)
                .orElse(CutCounts.Beside.UNKNOWN);
    }

    /** Passes on the name and the counts of each host, in the order of their names. */
    void forEachHost(BiConsumer<String, CutCounts> receiver) {
        mHosts.forEach((name, host) -> receiver.accept(name, host.mCounts));
    }

    /** Returns the number of requests by outcome, and of unanswered ones by reason. */
    Map<String, Long> outcomes() {
        return mOutcomes;
    }
}
