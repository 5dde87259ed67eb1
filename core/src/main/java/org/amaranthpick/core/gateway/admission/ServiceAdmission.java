package org.amaranthpick.core.gateway.admission;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.amaranthpick.core.gateway.admission.LoadDecision.Outcome;
import org.amaranthpick.core.gateway.admission.LoadDecision.Reason;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.TaskGuard;

/**
 * Admission to the chains of one service. Designed for a fleet in which each daemon has few
 * requests: the order of one daemon's queue decides little, so the same rule on how full the chains
 * are makes the order of all. The fuller they are, the more a request's refusal has to cost for it
 * to be let in.
 */
final class ServiceAdmission {
    /** Fill up to which requests are sent whose refusal costs most. */
    private static final double FULL = 1.0;

    /** Largest part of the memory that is kept for more costly requests. */
    private static final double MAX_RESERVE = 0.2;

    /** Time that passes until what other daemons have sent is seen, and has its room. */
    private static final double REACTION_S = 0.75;

    /** Largest part of a chain that a request is counted as, so that a large one fits at all. */
    private static final double MAX_NEED = 0.25;

    /** Factor by which the cost rises for groups that are let in much less often than others. */
    private static final double BEHIND_FACTOR = 2;

    /** Time that a caller must have lost before it counts as one that returns. */
    private static final Duration MIN_RETURNING_AGE = Duration.ofMillis(50);

    /** Time for which sends are paced after a request had to wait or was refused. */
    private static final long PRESSURE_NS = 1_000_000_000L;

    private static final Duration CHECK_PERIOD = Duration.ofMillis(25);

    /** A waiting request is given up once the predicted wait exceeds its time by this factor. */
    private static final double GIVE_UP_FACTOR = 2;

    /** A caller that returns at once would find the same fill. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(250);

    private static final double MS_PER_S = 1000;

    private final RoomSource mRooms;
    private final IntSupplier mDaemons;
    private final Scheduler mScheduler;
    private final DemandLevels mDemand = new DemandLevels();
    private final ServedShares mShares = new ServedShares();
    private final ServiceTimes mTimes = new ServiceTimes();
    private final ReturnBacklog mReturns = new ReturnBacklog();
    private final WaitingRequests mWaiting = new WaitingRequests();
    private final SendPacing mPacing;
    private final TaskGuard mGuard;
    private long mSequence;
    private long mPressureUntilNs = Long.MIN_VALUE;
    private boolean mSending;
    private boolean mCheckScheduled;

    ServiceAdmission(RoomSource rooms, IntSupplier daemons, Scheduler scheduler) {
        mRooms = rooms;
        mDaemons = daemons;
        mScheduler = scheduler;
        mPacing = new SendPacing(daemons);
        mGuard = new TaskGuard(scheduler);
    }

    void request(AdmissionTicket ticket) {
        AdmissionCandidate candidate = ticket.candidate();
        long nowNs = mScheduler.monotonicNs();
        ticket.setSequence(mSequence++);
        Optional<ModelRoom> room = mRooms.room(candidate.service(), nowNs);
        if (room.isPresent()) {
            int level = RefusalCost.level(cost(ticket, nowNs));
            mDemand.add(level, candidate.work().tokens(), nowNs);
        }
        mWaiting.add(ticket);
        try {
            decideAtOnce(ticket, room, nowNs);
        } finally {
            // Others wait too: they are checked again whatever this one throws.
            scheduleCheck();
        }
    }

    private void decideAtOnce(AdmissionTicket ticket, Optional<ModelRoom> room, long nowNs) {
        mWaiting.excess(waiting -> cost(waiting, nowNs))
                .ifPresent(excess -> refuse(excess, Reason.PASSED_OVER, room, nowNs));
        sendWaiting();
        if (ticket.isUndecided()) {
            mPressureUntilNs = nowNs + PRESSURE_NS;
            refuseIfHopeless(ticket, nowNs, 1);
        }
    }

    void onClosed(AdmissionTicket ticket, boolean answered) {
        if (ticket.isSent() && answered) {
            mTimes.onAnswered(Duration.ofNanos(mScheduler.monotonicNs() - ticket.sentNs()));
        }
        mWaiting.remove(ticket);
        sendWaiting();
    }

    void onFirstEvent(AdmissionTicket ticket) {
        mTimes.onFirstEvent(Duration.ofNanos(mScheduler.monotonicNs() - ticket.sentNs()));
    }

    /** Sends the requests for which there is room, in order, as long as there is some. */
    void sendWaiting() {
        if (mSending) {
            // Called by the handler of a decision; the loop below goes on with the next request.
            return;
        }
        mSending = true;
        try {
            boolean sent = true;
            while (sent) {
                sent = sendNext();
            }
        } finally {
            mSending = false;
        }
    }

    private boolean sendNext() {
        if (mWaiting.isEmpty()) {
            return false;
        }
        long nowNs = mScheduler.monotonicNs();
        AdmissionTicket next = mWaiting.ordered(ticket -> cost(ticket, nowNs)).get(0);
        Optional<ModelRoom> room = mRooms.room(next.candidate().service(), nowNs);
        if (room.isPresent() && !fits(next, room.get(), nowNs)) {
            return false;
        }
        AdmissionCandidate candidate = next.candidate();
        Reason reason = room.isPresent() ? Reason.ROOM : Reason.UNKNOWN;
        mWaiting.remove(next);
        if (room.isPresent()) {
            mWaiting.onSent(candidate, nowNs);
            mPacing.onSent(candidate.work().tokens(), nowNs);
            mShares.onDecision(candidate, !isReturning(next), true, nowNs);
        }
        boolean hasWaited = nowNs < mPressureUntilNs;
        String figures = hasWaited ? figures(next, room, nowNs) : "";
        decide(
                next,
                new LoadDecision(Outcome.SENT, reason, waited(next, nowNs), Duration.ZERO, figures),
                nowNs);
        return true;
    }

    private boolean fits(AdmissionTicket ticket, ModelRoom room, long nowNs) {
        double openTokens = openTokens(ticket, room, nowNs);
        return room.closedFor().isEmpty()
                && openTokens > 0
                && room.fill() + need(ticket, room, nowNs) <= FULL
                && (nowNs >= mPressureUntilNs || mPacing.admits(openTokens, nowNs));
    }

    /**
     * Returns the part of a chain that a request needs. Of one that is behind only as much as a
     * usual one does: it waits at the engine, where smaller ones don't take its room.
     */
    private double need(AdmissionTicket ticket, ModelRoom room, long nowNs) {
        RequestWork work = ticket.candidate().work();
        boolean behind = mShares.isBehind(ticket.candidate(), nowNs);
        double tokens = behind ? Math.min(work.tokens(), work.usualTokens()) : work.tokens();
        return Math.min(MAX_NEED, tokens / room.chainTokens());
    }

    /** Returns the free room of all chains that a request may use, negative if there is none. */
    private double openTokens(AdmissionTicket ticket, ModelRoom room, long nowNs) {
        return room.freeTokens() - reserveTokens(ticket, room, nowNs);
    }

    /**
     * Returns the room that is kept from a request for more costly ones: what those take before the
     * next observation of the engines.
     */
    private double reserveTokens(AdmissionTicket ticket, ModelRoom room, long nowNs) {
        if (mShares.isBehind(ticket.candidate(), nowNs)) {
            return 0;
        }
        int level = RefusalCost.level(cost(ticket, nowNs));
        double perS = mDemand.tokensPerSAbove(level, nowNs) * mDaemons.getAsInt();
        return Math.min(MAX_RESERVE * room.totalTokens(), perS * REACTION_S);
    }

    private double cost(AdmissionTicket ticket, long nowNs) {
        AdmissionCandidate candidate = ticket.candidate();
        double cost =
                RefusalCost.of(
                        candidate.priority(),
                        isOnTime(ticket, nowNs),
                        isReturning(ticket),
                        candidate.work().relative());
        return mShares.isBehind(candidate, nowNs) ? BEHIND_FACTOR * cost : cost;
    }

    private static boolean isReturning(AdmissionTicket ticket) {
        return ticket.age().compareTo(MIN_RETURNING_AGE) > 0;
    }

    private boolean isOnTime(AdmissionTicket ticket, long nowNs) {
        Duration targetLatency = ticket.candidate().route().targetLatency();
        Duration latency =
                ticket.age().plus(waited(ticket, nowNs)).plus(mTimes.firstEvent(targetLatency));
        return latency.compareTo(targetLatency) <= 0;
    }

    private static Duration waited(AdmissionTicket ticket, long nowNs) {
        return Duration.ofNanos(nowNs - ticket.candidate().receivedNs());
    }

    /** Returns the time for which a request can still wait and be answered. */
    private Duration waitingTime(AdmissionTicket ticket, long nowNs) {
        AdmissionCandidate candidate = ticket.candidate();
        Duration firstEvent = mTimes.firstEvent(candidate.route().targetLatency());
        Duration byPatience = candidate.patience().minus(firstEvent);
        Duration byAnswer = candidate.timeLimit().minus(mTimes.hold());
        Duration end = byPatience.compareTo(byAnswer) < 0 ? byPatience : byAnswer;
        return end.minus(waited(ticket, nowNs));
    }

    /** Predicts the time until there is room for a request. */
    private Duration predictedWait(AdmissionTicket ticket, ModelRoom room, long nowNs) {
        double aheadTokens = 0;
        List<AdmissionTicket> ordered = mWaiting.ordered(waiting -> cost(waiting, nowNs));
        for (AdmissionTicket waiting : ordered) {
            if (waiting == ticket) {
                break;
            }
            aheadTokens += waiting.candidate().work().tokens();
        }
        double openTokens = openTokens(ticket, room, nowNs);
        double chainExcess = room.fill() + need(ticket, room, nowNs) - FULL;
        double excess = Math.max(0, Math.max(chainExcess, -openTokens / room.totalTokens()));
        double drainS = excess * mTimes.hold().toMillis() / MS_PER_S;
        double part = mPacing.partOf(Math.max(0, openTokens));
        double queueS = Math.max(0, aheadTokens - part) / tokensPerS(room);
        Duration wait = Duration.ofMillis((long) ((drainS + queueS) * MS_PER_S));
        return room.closedFor().filter(time -> time.compareTo(wait) > 0).orElse(wait);
    }

    /** Returns the rate at which room becomes free for this daemon, if all daemons get the same. */
    private double tokensPerS(ModelRoom room) {
        double holdS = Math.max(1, mTimes.hold().toMillis()) / MS_PER_S;
        return Math.max(1, room.totalTokens() / holdS / Math.max(1, mDaemons.getAsInt()));
    }

    /**
     * Refuses a request that can't be answered any more, or whose caller would leave before there
     * is room. One that has come back waits as long as it can, since its caller doesn't return
     * again.
     */
    private void refuseIfHopeless(AdmissionTicket ticket, long nowNs, double factor) {
        Optional<ModelRoom> room = mRooms.room(ticket.candidate().service(), nowNs);
        Duration waitingTime = waitingTime(ticket, nowNs);
        if (waitingTime.isNegative() || waitingTime.isZero()) {
            Duration timeLeft = ticket.candidate().timeLimit().minus(waited(ticket, nowNs));
            boolean answerable = timeLeft.compareTo(mTimes.hold()) > 0;
            refuse(ticket, answerable ? Reason.FULL : Reason.NO_TIME, room, nowNs);
        } else if (room.isPresent()
                && !isReturning(ticket)
                && predictedWait(ticket, room.get(), nowNs).toMillis()
                        > factor * waitingTime.toMillis()) {
            refuse(ticket, Reason.FULL, room, nowNs);
        }
    }

    private void refuse(
            AdmissionTicket ticket, Reason reason, Optional<ModelRoom> room, long nowNs) {
        mPressureUntilNs = nowNs + PRESSURE_NS;
        AdmissionCandidate candidate = ticket.candidate();
        Duration retryAfter = MIN_RETRY_AFTER;
        if (room.isPresent()) {
            int level = RefusalCost.level(cost(ticket, nowNs));
            retryAfter =
                    MIN_RETRY_AFTER.plus(
                            predictedWait(ticket, room.get(), nowNs)
                                    .plus(
                                            mReturns.add(
                                                    level,
                                                    candidate.work().tokens(),
                                                    tokensPerS(room.get()),
                                                    nowNs)));
        }
        String figures = figures(ticket, room, nowNs);
        mWaiting.remove(ticket);
        mShares.onDecision(candidate, !isReturning(ticket), false, nowNs);
        decide(
                ticket,
                new LoadDecision(
                        Outcome.REFUSED, reason, waited(ticket, nowNs), retryAfter, figures),
                nowNs);
    }

    /** Decides on one request; what its handler throws concerns none of the others. */
    private void decide(AdmissionTicket ticket, LoadDecision decision, long nowNs) {
        mGuard.run("admission", () -> ticket.decide(decision, nowNs));
    }

    private String figures(AdmissionTicket ticket, Optional<ModelRoom> room, long nowNs) {
        return room.map(
                        known ->
                                String.format(
                                        Locale.ROOT,
                                        "fill %.2f, needs %.2f, free %.0f, reserve %.0f, cost %.2f, on_time %b,"
                                                + " returning %b, tokens %.0f, predicted_ms %d",
                                        known.fill(),
                                        need(ticket, known, nowNs),
                                        known.freeTokens(),
                                        reserveTokens(ticket, known, nowNs),
                                        cost(ticket, nowNs),
                                        isOnTime(ticket, nowNs),
                                        isReturning(ticket),
                                        ticket.candidate().work().tokens(),
                                        predictedWait(ticket, known, nowNs).toMillis()))
                .orElse("room unknown");
    }

    private void scheduleCheck() {
        if (!mCheckScheduled && !mWaiting.isEmpty()) {
            mCheckScheduled = true;
            var unused = mScheduler.schedule(CHECK_PERIOD, this::check);
        }
    }

    private void check() {
        mCheckScheduled = false;
        mGuard.run("admission", this::checkWaiting, this::scheduleCheck);
    }

    private void checkWaiting() {
        sendWaiting();
        long nowNs = mScheduler.monotonicNs();
        for (AdmissionTicket ticket : mWaiting.all()) {
            if (ticket.isUndecided()) {
                refuseIfHopeless(ticket, nowNs, GIVE_UP_FACTOR);
            }
        }
    }
}
