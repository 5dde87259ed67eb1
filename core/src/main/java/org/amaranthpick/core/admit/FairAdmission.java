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
 * Admission with limits per workspace, a bounded window per group, weighted fairness between
 * workspaces, priorities without starvation, and early refusal of what cannot be met. A request
 * given up is told so at once, with the time to come back.
 */
public final class FairAdmission implements Admission {
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration DRAIN_PERIOD = Duration.ofMillis(25);
    private static final double FASTEST_SHARE = 0.5;

    private final AdmissionSettings mSettings;
    private final WorkspaceLimits mLimits;
    private final CapacityGate mGate;
    private final Scheduler mScheduler;
    private final AtomicLong mSequence = new AtomicLong();
    private final Map<String, Group> mGroups = new ConcurrentHashMap<>();

    /** Queue of one group under its own lock. */
    private static final class Group {
        private final String mName;
        private final GroupQueue mQueue;
        private final ServiceRate mRate = new ServiceRate();
        private boolean mDrainArmed;

        Group(String name, AdmissionSettings settings) {
            mName = name;
            mQueue = new GroupQueue(settings);
        }
    }

    /** Decision to be told once no lock is held. */
    private record Told(Waiting waiting, AdmissionDecision decision) {}

    /**
     * Creates an admission.
     *
     * @param settings settings
     * @param limits limits of the workspaces
     * @param gate bound of the requests in progress per group
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
        limits.onChange(this::drainAll);
    }

    @Override
    public Cancellable request(AdmissionRequest request, Consumer<AdmissionDecision> then) {
        Group group = mGroups.computeIfAbsent(request.group(), name -> new Group(name, mSettings));
        long headStartNs = request.priority() * mSettings.priorityHeadStart().toNanos();
        Waiting waiting =
                new Waiting(
                        request,
                        then,
                        mScheduler.monotonicNs(),
                        headStartNs,
                        mSequence.incrementAndGet());
        List<Told> told = new ArrayList<>();
        synchronized (group) {
            enter(group, waiting, told);
        }
        tell(told);
        return () -> cancel(group, waiting);
    }

    /**
     * Counts the waiting requests.
     *
     * @return number of requests without a decision
     */
    public int waiting() {
        int waiting = 0;
        for (Group group : mGroups.values()) {
            synchronized (group) {
                waiting += group.mQueue.size();
            }
        }
        return waiting;
    }

    private void enter(Group group, Waiting waiting, List<Told> told) {
        AdmissionRequest request = waiting.request();
        Optional<AdmissionDecision> refused = refuseEarly(group, request);
        if (refused.isPresent()) {
            told.add(new Told(waiting, refused.get()));
            return;
        }
        group.mQueue.add(waiting);
        drain(group, told);
        if (group.mQueue.isOverfull()) {
            group.mQueue.dropFromLongest().ifPresent(last -> told.add(full(group, last)));
        }
        if (group.mQueue.contains(waiting)) {
            armTimer(group, waiting);
        }
        tellDemand(group, request.workspace());
    }

    private Optional<AdmissionDecision> refuseEarly(Group group, AdmissionRequest request) {
        long nowNs = mScheduler.monotonicNs();
        int ahead = Math.min(group.mQueue.size(), ahead(group, request));
        Duration wait = Duration.ofNanos(group.mRate.waitNs(ahead, nowNs));
        Optional<Duration> left = timeLeft(request);
        long fastestNs = (long) (FASTEST_SHARE * group.mRate.heldNs());
        if (left.isPresent() && left.get().compareTo(wait.plusNanos(fastestNs)) < 0) {
            String message =
                    "deadline in "
                            + left.get().toMillis()
                            + " ms, predicted wait "
                            + wait.toMillis()
                            + " ms";
            return Optional.of(refusal(RefusalReason.DEADLINE_UNREACHABLE, message, wait));
        }
        if (group.mQueue.isFull(request.workspace().id())) {
            String message = "queue of the workspace is full";
            return Optional.of(refusal(RefusalReason.QUEUE_FULL, message, wait));
        }
        if (left.isEmpty() && wait.compareTo(mSettings.maxWait()) > 0) {
            String message = "predicted wait of " + wait.toMillis() + " ms is too long";
            return Optional.of(refusal(RefusalReason.QUEUE_FULL, message, wait));
        }
        return Optional.empty();
    }

    /** Counts the requests that are likely to start before a new one. */
    private static int ahead(Group group, AdmissionRequest request) {
        int own = group.mQueue.size(request.workspace().id());
        int lanes = Math.max(1, group.mQueue.workspaces());
        return own * lanes;
    }

    private void drain(Group group, List<Told> told) {
        while (group.mQueue.size() > 0) {
            Optional<Waiting> next = group.mQueue.poll(waiting -> mayStart(group, waiting));
            if (next.isEmpty()) {
                armDrain(group);
                return;
            }
            next.get().cancelTimer();
            group.mRate.onAdmitted(mScheduler.monotonicNs());
            Permit permit = new HeldPermit(group, next.get().request(), mScheduler.monotonicNs());
            told.add(new Told(next.get(), new AdmissionDecision.Admitted(permit)));
        }
        group.mRate.onIdle();
    }

    /** Looks again soon, since limits fill with time. */
    private void armDrain(Group group) {
        if (!group.mDrainArmed) {
            group.mDrainArmed = true;
            var unused = mScheduler.schedule(DRAIN_PERIOD, () -> drainAgain(group));
        }
    }

    private void drainAgain(Group group) {
        synchronized (group) {
            group.mDrainArmed = false;
        }
        drainOne(group);
    }

    private boolean mayStart(Group group, Waiting waiting) {
        AdmissionRequest request = waiting.request();
        if (!mGate.tryEnter(group.mName, request.priority())) {
            return false;
        }
        if (mLimits.tryStart(request.workspace(), request.tokens())) {
            return true;
        }
        mGate.leave(group.mName);
        return false;
    }

    private void drainAll() {
        mGroups.values().forEach(this::drainOne);
    }

    private void drainOne(Group group) {
        List<Told> told = new ArrayList<>();
        synchronized (group) {
            drain(group, told);
            for (Told one : told) {
                tellDemand(group, one.waiting().request().workspace());
            }
        }
        tell(told);
    }

    private void tellDemand(Group group, WorkspaceSpec workspace) {
        int requests = group.mQueue.size(workspace.id());
        mLimits.waiting(workspace, requests, group.mQueue.tokens(workspace.id()));
    }

    /** Gives a request up when its deadline can no longer be met, or its wait is over. */
    private void armTimer(Group group, Waiting waiting) {
        Duration patience = timeLeft(waiting.request()).orElse(mSettings.maxWait());
        waiting.setTimer(mScheduler.schedule(patience, () -> giveUp(group, waiting)));
    }

    private void giveUp(Group group, Waiting waiting) {
        boolean removed;
        Duration wait;
        synchronized (group) {
            removed = group.mQueue.remove(waiting);
            wait =
                    Duration.ofNanos(
                            group.mRate.waitNs(group.mQueue.size(), mScheduler.monotonicNs()));
            tellDemand(group, waiting.request().workspace());
        }
        if (!removed) {
            return;
        }
        boolean deadline = waiting.request().deadline().isPresent();
        RefusalReason reason =
                deadline ? RefusalReason.DEADLINE_UNREACHABLE : RefusalReason.LIMIT_REACHED;
        waiting.then().accept(refusal(reason, "waited too long for a limit or capacity", wait));
    }

    private void cancel(Group group, Waiting waiting) {
        synchronized (group) {
            if (group.mQueue.remove(waiting)) {
                waiting.cancelTimer();
                tellDemand(group, waiting.request().workspace());
            }
        }
    }

    private void release(Group group, AdmissionRequest request, long startedNs, int used) {
        mGate.leave(group.mName);
        synchronized (group) {
            group.mRate.onEnded(mScheduler.monotonicNs() - startedNs);
        }
        mLimits.finish(request.workspace(), request.tokens(), used);
        drainOne(group);
    }

    private Told full(Group group, Waiting last) {
        last.cancelTimer();
        Duration wait =
                Duration.ofNanos(group.mRate.waitNs(group.mQueue.size(), mScheduler.monotonicNs()));
        return new Told(last, refusal(RefusalReason.QUEUE_FULL, "queue is full", wait));
    }

    private Optional<Duration> timeLeft(AdmissionRequest request) {
        Instant now = mScheduler.instant();
        return request.deadline().map(deadline -> Duration.between(now, deadline));
    }

    private static AdmissionDecision refusal(RefusalReason reason, String message, Duration wait) {
        Duration after = wait.compareTo(MIN_RETRY_AFTER) > 0 ? wait : MIN_RETRY_AFTER;
        return new AdmissionDecision.Refused(reason, message, Optional.of(after));
    }

    private static void tell(List<Told> told) {
        told.forEach(one -> one.waiting().then().accept(one.decision()));
    }

    /** Permit that gives back what was taken. */
    private final class HeldPermit implements Permit {
        private final Group mGroup;
        private final AdmissionRequest mRequest;
        private final long mStartedNs;
        private final AtomicBoolean mClosed = new AtomicBoolean();
        private volatile int mUsed;

        HeldPermit(Group group, AdmissionRequest request, long startedNs) {
            mGroup = group;
            mRequest = request;
            mStartedNs = startedNs;
            mUsed = request.tokens();
        }

        @Override
        public void used(int tokens) {
            mUsed = tokens;
        }

        @Override
        public void close() {
            if (mClosed.compareAndSet(false, true)) {
                release(mGroup, mRequest, mStartedNs, mUsed);
            }
        }
    }
}
