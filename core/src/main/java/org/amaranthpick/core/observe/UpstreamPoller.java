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

/** Reads the status of the upstreams that this daemon observes and writes the upstream section. */
final class UpstreamPoller implements Controller {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final int LOST_AFTER_FAILURES = 3;
    private static final int STEPS_PER_CLEANUP = 120;

    private final Blackboard mBoard;
    private final Assignments mAssignments;
    private final UpstreamClient mClient;
    private final Scheduler mScheduler;
    private final Map<Identity, Poll> mPolls = new HashMap<>();
    private int mSteps;

    /** State of polling one upstream. */
    private static final class Poll {
        private int mFailures;
        private boolean mPending;
    }

    UpstreamPoller(
            Blackboard board, Assignments assignments, UpstreamClient client, Scheduler scheduler) {
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
        Map<Identity, Assignments.Assignment> assigned = mAssignments.current();
        synchronized (mPolls) {
            mPolls.keySet().retainAll(assigned.keySet());
        }
        assigned.values().forEach(assignment -> poll(assignment.spec()));
        mSteps++;
        if (mSteps % STEPS_PER_CLEANUP == 0) {
            forgetRemoved();
        }
    }

    /** Drops the observations of upstreams that are configured no more. */
    private void forgetRemoved() {
        List<Identity> removed = new ArrayList<>();
        mBoard.upstreams()
                .forEach(
                        (upstream, seen) -> {
                            if (!mAssignments.isConfigured(upstream)) {
                                removed.add(upstream);
                            }
                        });
        removed.forEach(upstream -> mBoard.upstreams().remove(upstream));
    }

    private void poll(UpstreamSpec upstream) {
        synchronized (mPolls) {
            Poll poll = mPolls.computeIfAbsent(upstream.id(), key -> new Poll());
            if (poll.mPending) {
                onFailure(upstream.id(), poll);
                return;
            }
            poll.mPending = true;
        }
        Instant asked = mScheduler.instant();
        mClient.status(upstream).thenAccept(status -> onReply(upstream.id(), asked, status));
    }

    private void onReply(Identity upstream, Instant asked, Optional<UpstreamStatus> status) {
        synchronized (mPolls) {
            Poll poll = mPolls.computeIfAbsent(upstream, key -> new Poll());
            poll.mPending = false;
            if (status.isEmpty()) {
                onFailure(upstream, poll);
                return;
            }
            poll.mFailures = 0;
        }
        Instant sampledAt = midpoint(asked, mScheduler.instant());
        mBoard.upstreams()
                .put(
                        upstream,
                        new UpstreamObservation(
                                upstream, status.get(), sampledAt, Reachability.REACHABLE));
    }

    private void onFailure(Identity upstream, Poll poll) {
        poll.mFailures++;
        Reachability reachability =
                poll.mFailures < LOST_AFTER_FAILURES ? Reachability.SUSPECT : Reachability.LOST;
        if (poll.mFailures == LOST_AFTER_FAILURES) {
            sLogger.atInfo().log("observe: %s is lost, it did not answer", upstream);
        }
        Optional<UpstreamObservation> seen = mBoard.upstreams().get(upstream);
        UpstreamObservation last = seen.orElseGet(() -> neverSeen(upstream));
        mBoard.upstreams()
                .put(
                        upstream,
                        new UpstreamObservation(
                                upstream, last.status(), last.sampledAt(), reachability));
    }

    private UpstreamObservation neverSeen(Identity upstream) {
        UpstreamStatus status =
                new UpstreamStatus("", 0, false, List.of(), 0, 0, 0, Optional.empty(), 0);
        return new UpstreamObservation(
                upstream, status, mScheduler.instant(), Reachability.SUSPECT);
    }

    private static Instant midpoint(Instant from, Instant to) {
        return from.plus(Duration.between(from, to).dividedBy(2));
    }
}
