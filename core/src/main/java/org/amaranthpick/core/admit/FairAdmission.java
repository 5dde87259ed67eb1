package org.amaranthpick.core.admit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.request.RefusalReason;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/**
 * Admission with limits per workspace, a capacity gate per group, weighted fair queueing between
 * workspaces, priorities without starvation, and early refusal of requests whose deadline cannot be
 * met. A request that is refused gets its decision immediately, with a time to retry after.
 */
public final class FairAdmission implements Admission {
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration RETRY_PERIOD = Duration.ofMillis(25);
    private static final double MIN_DURATION_RATIO = 0.5;

    private final AdmissionSettings mSettings;
    private final WorkspaceLimits mLimits;
    private final CapacityGate mGate;
    private final Scheduler mScheduler;
    private final AtomicLong mSequence = new AtomicLong();
    private final Map<String, Group> mGroups = new ConcurrentHashMap<>();

    /** Queue of one group; also the lock that guards it. */
    private static final class Group {
        private final String mName;
        private final GroupQueue mQueue;
        private final AdmissionRate mRate = new AdmissionRate();
        private boolean mRetryScheduled;

        Group(String name, AdmissionSettings settings) {
            mName = name;
            mQueue = new GroupQueue(settings);
        }
    }

    /** Decision that is delivered once no lock is held. */
    private record UndeliveredDecision(WaitingRequest waiting, AdmissionDecision decision) {}

    /**
     * Creates an admission without waiting requests.
     *
     * @param settings settings
     * @param limits limits of the workspaces
     * @param gate gate that bounds the requests in progress per group
     * @param scheduler clock and timers
     */
    public FairAdmission(
            AdmissionSettings settings,
            WorkspaceLimits limits,
            CapacityGate gate,
            Scheduler scheduler) {
        mSettings = settings;
        mLimits = limits;
        mGate = gate;
        mScheduler = scheduler;
        limits.onChange(this::admitAllGroups);
    }

    @Override
    public Cancellable request(
            AdmissionRequest request, Consumer<AdmissionDecision> decisionHandler) {
        Group group = mGroups.computeIfAbsent(request.group(), name -> new Group(name, mSettings));
        long headStartNs = request.priority() * mSettings.priorityHeadStart().toNanos();
        WaitingRequest waiting =
                new WaitingRequest(
                        request,
                        decisionHandler,
                        mScheduler.monotonicNs(),
                        headStartNs,
                        mSequence.incrementAndGet());
        List<UndeliveredDecision> decisions = new ArrayList<>();
        synchronized (group) {
            enqueue(group, waiting, decisions);
        }
        deliver(decisions);
        return () -> cancel(group, waiting);
    }

    /**
     * Counts the waiting requests.
     *
     * @return number of requests without a decision
     */
    public int waitingRequests() {
        int waiting = 0;
        for (Group group : mGroups.values()) {
            synchronized (group) {
                waiting += group.mQueue.size();
            }
        }
        return waiting;
    }

    private void enqueue(Group group, WaitingRequest waiting, List<UndeliveredDecision> decisions) {
        AdmissionRequest request = waiting.request();
        Optional<AdmissionDecision> refused = refuseEarly(group, request);
        if (refused.isPresent()) {
            decisions.add(new UndeliveredDecision(waiting, refused.get()));
            return;
        }
        group.mQueue.add(waiting);
        admitWaiting(group, decisions);
        if (group.mQueue.isOverfull()) {
            group.mQueue
                    .removeNewestFromLongest()
                    .ifPresent(dropped -> decisions.add(queueFullDecision(group, dropped)));
        }
        if (group.mQueue.contains(waiting)) {
            scheduleTimeout(group, waiting);
        }
        reportWaiting(group, request.workspace());
    }

    private Optional<AdmissionDecision> refuseEarly(Group group, AdmissionRequest request) {
        long nowNs = mScheduler.monotonicNs();
        int ahead = Math.min(group.mQueue.size(), requestsAhead(group, request));
        Duration wait = Duration.ofNanos(group.mRate.waitNs(ahead, nowNs));
        Optional<Duration> timeLeft = timeLeft(request);
        long minDurationNs = (long) (MIN_DURATION_RATIO * group.mRate.meanDurationNs());
        if (timeLeft.isPresent() && timeLeft.get().compareTo(wait.plusNanos(minDurationNs)) < 0) {
            String message =
                    "the deadline is in "
                            + timeLeft.get().toMillis()
                            + " ms, but the predicted wait is "
                            + wait.toMillis()
                            + " ms";
            return Optional.of(refusal(RefusalReason.DEADLINE_UNREACHABLE, message, wait));
        }
        if (group.mQueue.isFull(request.workspace().id())) {
            String message = "the queue of the workspace is full";
            return Optional.of(refusal(RefusalReason.QUEUE_FULL, message, wait));
        }
        if (timeLeft.isEmpty() && wait.compareTo(mSettings.maxWait()) > 0) {
            String message = "the predicted wait of " + wait.toMillis() + " ms is too long";
            return Optional.of(refusal(RefusalReason.QUEUE_FULL, message, wait));
        }
        return Optional.empty();
    }

    /**
     * Estimates how many requests start before a new one: those of its own workspace, each
     * alternating with the requests of other active workspaces.
     */
    private static int requestsAhead(Group group, AdmissionRequest request) {
        int ownRequests = group.mQueue.size(request.workspace().id());
        int workspaces = Math.max(1, group.mQueue.activeWorkspaces());
        return ownRequests * workspaces;
    }

    private void admitWaiting(Group group, List<UndeliveredDecision> decisions) {
        while (group.mQueue.size() > 0) {
            Optional<WaitingRequest> next = group.mQueue.poll(waiting -> tryStart(group, waiting));
            if (next.isEmpty()) {
                scheduleRetry(group);
                return;
            }
            next.get().cancelTimer();
            group.mRate.onAdmitted(mScheduler.monotonicNs());
            Permit permit = new HeldPermit(group, next.get().request(), mScheduler.monotonicNs());
            decisions.add(
                    new UndeliveredDecision(next.get(), new AdmissionDecision.Admitted(permit)));
        }
        group.mRate.onIdle();
    }

    /** Schedules another attempt to admit, since limits are replenished over time. */
    private void scheduleRetry(Group group) {
        if (!group.mRetryScheduled) {
            group.mRetryScheduled = true;
            var unused = mScheduler.schedule(RETRY_PERIOD, () -> retryAdmission(group));
        }
    }

    private void retryAdmission(Group group) {
        synchronized (group) {
            group.mRetryScheduled = false;
        }
        admitGroup(group);
    }

    private boolean tryStart(Group group, WaitingRequest waiting) {
        AdmissionRequest request = waiting.request();
        if (!mGate.tryAcquire(group.mName, request.priority())) {
            return false;
        }
        if (mLimits.tryStart(request.workspace(), request.tokens())) {
            return true;
        }
        mGate.release(group.mName);
        return false;
    }

    private void admitAllGroups() {
        mGroups.values().forEach(this::admitGroup);
    }

    private void admitGroup(Group group) {
        List<UndeliveredDecision> decisions = new ArrayList<>();
        synchronized (group) {
            admitWaiting(group, decisions);
            for (UndeliveredDecision decision : decisions) {
                reportWaiting(group, decision.waiting().request().workspace());
            }
        }
        deliver(decisions);
    }

    private void reportWaiting(Group group, WorkspaceSpec workspace) {
        int requests = group.mQueue.size(workspace.id());
        mLimits.reportWaiting(workspace, requests, group.mQueue.tokens(workspace.id()));
    }

    /** Schedules the refusal of a request at its deadline or, without one, at the maximum wait. */
    private void scheduleTimeout(Group group, WaitingRequest waiting) {
        Duration timeout = timeLeft(waiting.request()).orElse(mSettings.maxWait());
        waiting.setTimer(mScheduler.schedule(timeout, () -> refuseExpired(group, waiting)));
    }

    private void refuseExpired(Group group, WaitingRequest waiting) {
        boolean removed;
        Duration wait;
        synchronized (group) {
            removed = group.mQueue.remove(waiting);
            wait =
                    Duration.ofNanos(
                            group.mRate.waitNs(group.mQueue.size(), mScheduler.monotonicNs()));
            reportWaiting(group, waiting.request().workspace());
        }
        if (!removed) {
            return;
        }
        boolean deadline = waiting.request().deadline().isPresent();
        RefusalReason reason =
                deadline ? RefusalReason.DEADLINE_UNREACHABLE : RefusalReason.LIMIT_REACHED;
        waiting.decisionHandler()
                .accept(
                        refusal(
                                reason,
                                "the request waited too long for a limit or for capacity",
                                wait));
    }

    private void cancel(Group group, WaitingRequest waiting) {
        synchronized (group) {
            if (group.mQueue.remove(waiting)) {
                waiting.cancelTimer();
                reportWaiting(group, waiting.request().workspace());
            }
        }
    }

    private void release(Group group, AdmissionRequest request, long startedNs, int usedTokens) {
        mGate.release(group.mName);
        synchronized (group) {
            group.mRate.onEnded(mScheduler.monotonicNs() - startedNs);
        }
        mLimits.finish(request.workspace(), request.tokens(), usedTokens);
        admitGroup(group);
    }

    private UndeliveredDecision queueFullDecision(Group group, WaitingRequest dropped) {
        dropped.cancelTimer();
        Duration wait =
                Duration.ofNanos(group.mRate.waitNs(group.mQueue.size(), mScheduler.monotonicNs()));
        return new UndeliveredDecision(
                dropped, refusal(RefusalReason.QUEUE_FULL, "the queue is full", wait));
    }

    private Optional<Duration> timeLeft(AdmissionRequest request) {
        Instant now = mScheduler.instant();
        return request.deadline().map(deadline -> Duration.between(now, deadline));
    }

    private static AdmissionDecision refusal(RefusalReason reason, String message, Duration wait) {
        Duration retryAfter = wait.compareTo(MIN_RETRY_AFTER) > 0 ? wait : MIN_RETRY_AFTER;
        return new AdmissionDecision.Refused(reason, message, Optional.of(retryAfter));
    }

    private static void deliver(List<UndeliveredDecision> decisions) {
        decisions.forEach(
                decision -> decision.waiting().decisionHandler().accept(decision.decision()));
    }

    /** Permit that releases the limits and the capacity of its request when closed. */
    private final class HeldPermit implements Permit {
        private final Group mGroup;
        private final AdmissionRequest mRequest;
        private final long mStartedNs;
        private final AtomicBoolean mClosed = new AtomicBoolean();
        private volatile int mUsedTokens;

        HeldPermit(Group group, AdmissionRequest request, long startedNs) {
            mGroup = group;
            mRequest = request;
            mStartedNs = startedNs;
            mUsedTokens = request.tokens();
        }

        @Override
        public void setUsedTokens(int tokens) {
            mUsedTokens = tokens;
        }

        @Override
        public void close() {
            if (mClosed.compareAndSet(false, true)) {
                release(mGroup, mRequest, mStartedNs, mUsedTokens);
            }
        }
    }
}
