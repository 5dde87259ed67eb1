package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.layers.EngineControl;
import org.amaranthpick.core.layers.EngineReport;
import org.amaranthpick.core.quarantine.PromptQuarantine;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.time.Scheduler;

/**
 * Distinguishes the crash of an upstream from a lost response. A lost response alone may be due to
 * its connection, so the upstream is queried. An engine that does not report any more has crashed;
 * so has an upstream of a plain service that cannot be reached, since it knows no reports. One that
 * no daemon could query has not. Confined to one thread.
 */
final class CrashDetector {
    private final EngineControl mEngines;
    private final PromptQuarantine mQuarantine;
    private final Scheduler mScheduler;
    private final Map<String, Set<List<String>>> mQueried = new HashMap<>();

    CrashDetector(EngineControl engines, PromptQuarantine quarantine, Scheduler scheduler) {
        mEngines = engines;
        mQuarantine = quarantine;
        mScheduler = scheduler;
    }

    /**
     * Handles the loss of a response that had not been coming in for long.
     *
     * @param engine upstream that the request was sent to
     * @param parts shared parts of the request's prompt, and the request itself
     */
    void onResponseLost(UpstreamEntry engine, List<String> parts) {
        Set<List<String>> lost = mQueried.get(engine.id());
        if (lost != null) {
            lost.add(parts);
            return;
        }
        lost = new LinkedHashSet<>();
        lost.add(parts);
        mQueried.put(engine.id(), lost);
        fetchReport(engine)
                .whenComplete(
                        (report, failure) ->
                                mScheduler.schedule(
                                        Duration.ZERO,
                                        () -> {
                                            if (failure == null) {
                                                onReport(engine, report);
                                            } else {
                                                onQueryFailed(engine, failure);
                                            }
                                        }));
    }

    private CompletionStage<EngineReport> fetchReport(UpstreamEntry engine) {
        try {
            return mEngines.fetchReport(engine);
        } catch (RuntimeException | Error e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** What the query would have told is unknown; the next loss is queried again. */
    private void onQueryFailed(UpstreamEntry engine, Throwable failure) {
        mQueried.remove(engine.id());
        mScheduler.onTaskFailed("crash query", failure);
    }

    private void onReport(UpstreamEntry engine, EngineReport report) {
        Set<List<String>> lost = mQueried.remove(engine.id());
        if (report instanceof EngineReport.Absent absent && hasCrashed(engine, absent)) {
            long nowNs = mScheduler.monotonicNs();
            lost.forEach(parts -> mQuarantine.onCrash(engine.id(), parts, nowNs));
        }
    }

    private static boolean hasCrashed(UpstreamEntry upstream, EngineReport.Absent absent) {
        boolean reports = upstream.card().isPresent();
        return switch (absent.cause()) {
            case NO_REPORT -> reports;
            case UNREACHABLE -> true;
            case NO_PATH, PAUSED -> false;
        };
    }
}
