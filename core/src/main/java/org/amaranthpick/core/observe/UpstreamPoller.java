package org.amaranthpick.core.observe;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation.Reachability;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.upstream.UpstreamClient;
import org.amaranthpick.core.upstream.UpstreamStatus;

/**
 * Polls the status of the upstreams that this daemon observes and writes the upstream section of
 * the blackboard.
 */
final class UpstreamPoller implements Controller {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final int LOST_AFTER_FAILURES = 3;
    private static final int STEPS_PER_CLEANUP = 120;

    private final Blackboard mBoard;
    private final ObserverAssignments mAssignments;
    private final UpstreamClient mClient;
    private final Scheduler mScheduler;
    private final Map<Identity, PollState> mPolls = new HashMap<>();
    private int mSteps;

    /** Polling state of one upstream. */
    private static final class PollState {
        private int mFailures;
        private boolean mPending;
    }

    UpstreamPoller(
            Blackboard board,
            ObserverAssignments assignments,
            UpstreamClient client,
            Scheduler scheduler) {
        mBoard = board;
        mAssignments = assignments;
        mClient = client;
        mScheduler = scheduler;
    }

    @Override
    public String name() {
        return "upstream-poller";
    }

    @Override
    public Duration period() {
        return PERIOD;
    }

    @Override
    public void step() {
        Map<Identity, ObserverAssignments.Assignment> assigned = mAssignments.current();
        synchronized (mPolls) {
            mPolls.keySet().retainAll(assigned.keySet());
        }
        assigned.values().forEach(assignment -> poll(assignment.spec()));
        mSteps++;
        if (mSteps % STEPS_PER_CLEANUP == 0) {
            removeUnconfigured();
        }
    }

    /** Removes the observations of upstreams that are no longer configured. */
    private void removeUnconfigured() {
        List<Identity> removed = new ArrayList<>();
        mBoard.upstreams()
                .forEach(
                        (upstream, observation) -> {
                            if (!mAssignments.isConfigured(upstream)) {
                                removed.add(upstream);
                            }
                        });
        removed.forEach(upstream -> mBoard.upstreams().remove(upstream));
    }

    private void poll(UpstreamSpec upstream) {
        synchronized (mPolls) {
            PollState poll = mPolls.computeIfAbsent(upstream.id(), key -> new PollState());
            if (poll.mPending) {
                onFailure(upstream.id(), poll);
                return;
            }
            poll.mPending = true;
        }
        Instant requestedAt = mScheduler.instant();
        mClient.status(upstream).thenAccept(status -> onReply(upstream.id(), requestedAt, status));
    }

    private void onReply(Identity upstream, Instant requestedAt, Optional<UpstreamStatus> status) {
        synchronized (mPolls) {
            PollState poll = mPolls.computeIfAbsent(upstream, key -> new PollState());
            poll.mPending = false;
            if (status.isEmpty()) {
                onFailure(upstream, poll);
                return;
            }
            poll.mFailures = 0;
        }
        Instant sampledAt = midpoint(requestedAt, mScheduler.instant());
        mBoard.upstreams()
                .put(
                        upstream,
                        new UpstreamObservation(
                                upstream, status.get(), sampledAt, Reachability.REACHABLE));
    }

    private void onFailure(Identity upstream, PollState poll) {
        poll.mFailures++;
        Reachability reachability =
                poll.mFailures < LOST_AFTER_FAILURES ? Reachability.SUSPECT : Reachability.LOST;
        if (poll.mFailures == LOST_AFTER_FAILURES) {
            sLogger.atInfo().log(
                    "observe: upstream %s is lost: several status requests in a row failed",
                    upstream);
        }
        Optional<UpstreamObservation> observation = mBoard.upstreams().get(upstream);
        UpstreamObservation last = observation.orElseGet(() -> initialObservation(upstream));
        mBoard.upstreams()
                .put(
                        upstream,
                        new UpstreamObservation(
                                upstream, last.status(), last.sampledAt(), reachability));
    }

    private UpstreamObservation initialObservation(Identity upstream) {
        UpstreamStatus status =
                new UpstreamStatus("", 0, false, List.of(), 0, 0, 0, Optional.empty(), 0);
        return new UpstreamObservation(
                upstream, status, mScheduler.instant(), Reachability.SUSPECT);
    }

    private static Instant midpoint(Instant from, Instant to) {
        return from.plus(Duration.between(from, to).dividedBy(2));
    }
}
