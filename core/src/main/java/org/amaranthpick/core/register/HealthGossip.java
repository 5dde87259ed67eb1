package org.amaranthpick.core.register;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.TaskGuard;

/**
 * Spreads observations of failing upstreams among the daemons. Each daemon passes what is news to
 * it on to a few random others, once. Designed for the loss of many engines in a fleet of hundreds
 * of daemons: a daemon with a few requests a second would need many seconds, and its whole retry
 * budget, to find each dead engine by itself, while all daemons together find them at once.
 *
 * <p>A daemon that is cut off sees all upstreams fail. Therefore no daemon reports, and none
 * believes of one origin, more than a small part of the upstreams in a short time; and a daemon
 * that has just used an upstream with success believes nobody. Confined to one thread.
 */
public final class HealthGossip {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Number of daemons that a daemon passes news on to; reaches 98 % of a large fleet. */
    static final int FAN_OUT = 4;

    /** Time for which notes are collected into one message. */
    private static final Duration BATCHING_DELAY = Duration.ofMillis(30);

    private static final int MAX_NOTES_PER_MESSAGE = 100;

    /** Time in which one daemon may accuse only a part of the upstreams. */
    private static final Duration ACCUSATION_WINDOW = Duration.ofSeconds(2);

    private static final double MAX_ACCUSED_FRACTION = 0.125;
    private static final int MIN_ACCUSATIONS = 3;

    /** Time for which an own success outweighs reports of others. */
    private static final Duration TRUSTED_AFTER_SUCCESS = Duration.ofMillis(400);

    private static final int MAX_REMEMBERED_NOTES = 2048;
    private static final int MAX_ORIGINS = 1024;

    private final String mSelf;
    private final UpstreamHealth mHealth;
    private final IntSupplier mUpstreamCount;
    private final Supplier<List<String>> mPeers;
    private final Sender mSender;
    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final long mStartedAtNs;
    private final List<HealthNote> mPending = new ArrayList<>();
    private final Map<String, Boolean> mKnownNotes = bounded(MAX_REMEMBERED_NOTES);
    private final Map<String, Deque<Long>> mAccusations = bounded(MAX_ORIGINS);
    private Optional<RequestRateLimits> mRateLimits = Optional.empty();
    private Optional<LeavingNotices> mLeaving = Optional.empty();
    private long mNoteCount;

    /** Sends notes to other daemons, without waiting and without a promise that they arrive. */
    @FunctionalInterface
    public interface Sender {
        /**
         * Sends notes.
         *
         * @param peerAddress address of the other daemon
         * @param notes the notes
         */
        void send(String peerAddress, List<HealthNote> notes);
    }

    /**
     * Creates the gossip of a daemon and registers it as the listener of its observations.
     *
     * @param self name of this host
     * @param health health of the upstreams; updated by the notes of others
     * @param upstreamCount returns the number of registered upstreams
     * @param peers returns the addresses of the other daemons
     * @param sender sends notes
     * @param scheduler clock and timers
     * @param random source of the choice of peers
     */
    public HealthGossip(
            String self,
            UpstreamHealth health,
            IntSupplier upstreamCount,
            Supplier<List<String>> peers,
            Sender sender,
            Scheduler scheduler,
            RandomGenerator random) {
        mSelf = self;
        mHealth = health;
        mUpstreamCount = upstreamCount;
        mPeers = peers;
        mSender = sender;
        mScheduler = scheduler;
        mRandom = random;
        mStartedAtNs = scheduler.monotonicNs();
        health.setListener(this::onObservation);
    }

    /**
     * Reports the ends of limits that this daemon observes, and applies those that others report.
     *
     * @param rateLimits limits that upstreams set to their requests
     */
    public void observe(RequestRateLimits rateLimits) {
        mRateLimits = Optional.of(rateLimits);
        rateLimits.setListener(id -> onObservation(id, HealthNote.Kind.UNLIMITED));
    }

    /**
     * Reports the upstreams that tell this daemon that they are leaving, and applies what others
     * report.
     *
     * @param leaving what answers say of leaving
     */
    public void observe(LeavingNotices leaving) {
        mLeaving = Optional.of(leaving);
        leaving.setListener(this::onObservation);
    }

    private static <V> Map<String, V> bounded(int maxSize) {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > maxSize;
            }
        };
    }

    private void onObservation(String upstreamId, HealthNote.Kind kind) {
        if (kind == HealthNote.Kind.UNLIMITED || mayAccuse(mSelf)) {
            HealthNote note = new HealthNote(mSelf, mStartedAtNs, ++mNoteCount, upstreamId, kind);
            mKnownNotes.put(note.key(), true);
            pass(note);
        }
    }

    /**
     * Handles notes from another daemon: applies those that are new, and passes on what was news.
     *
     * @param notes the notes
     */
    public void onNotes(List<HealthNote> notes) {
        notes.stream().limit(MAX_NOTES_PER_MESSAGE).forEach(this::onNote);
    }

    private void onNote(HealthNote note) {
        if (note.origin().equals(mSelf) || mKnownNotes.put(note.key(), true) != null) {
            return;
        }
        boolean news =
                switch (note.kind()) {
                    case UNLIMITED ->
                            mRateLimits
                                    .filter(limits -> limits.onReportedUnlimited(note.upstreamId()))
                                    .isPresent();
                    case LEAVING -> applyLeaving(note);
                    case UNREACHABLE, REFUSED -> applyFailure(note);
                };
        if (news) {
            sLogger.atInfo().log(
                    "gossip: upstream=%s kind=%s origin=%s",
                    note.upstreamId(), note.kind(), note.origin());
            pass(note);
        }
    }

    private boolean applyLeaving(HealthNote note) {
        long nowNs = mScheduler.monotonicNs();
        return mayAccuse(note.origin())
                && mLeaving.filter(leaving -> leaving.onReported(note.upstreamId(), nowNs))
                        .isPresent();
    }

    private boolean applyFailure(HealthNote note) {
        long nowNs = mScheduler.monotonicNs();
        long trustedSinceNs = nowNs - TRUSTED_AFTER_SUCCESS.toNanos();
        return !mHealth.succeededSince(note.upstreamId(), trustedSinceNs)
                && mayAccuse(note.origin())
                && mHealth.onReported(note.upstreamId(), note.kind(), nowNs);
    }

    private void pass(HealthNote note) {
        if (mPending.isEmpty()) {
            mScheduler.schedule(BATCHING_DELAY, this::sendPending);
        }
        if (mPending.size() < MAX_NOTES_PER_MESSAGE) {
            mPending.add(note);
        }
    }

    private void sendPending() {
        List<HealthNote> notes = List.copyOf(mPending);
        mPending.clear();
        List<String> peers = new ArrayList<>(mPeers.get());
        TaskGuard guard = new TaskGuard(mScheduler);
        for (int i = 0; i < FAN_OUT && !peers.isEmpty(); i++) {
            String peer = peers.remove(mRandom.nextInt(peers.size()));
            guard.run("health gossip", () -> mSender.send(peer, notes));
        }
    }

    private boolean mayAccuse(String origin) {
        long nowNs = mScheduler.monotonicNs();
        Deque<Long> times = mAccusations.computeIfAbsent(origin, key -> new ArrayDeque<>());
        while (!times.isEmpty() && nowNs - times.peekFirst() > ACCUSATION_WINDOW.toNanos()) {
            times.removeFirst();
        }
        double max = Math.max(MIN_ACCUSATIONS, MAX_ACCUSED_FRACTION * mUpstreamCount.getAsInt());
        if (times.size() >= max) {
            return false;
        }
        times.addLast(nowNs);
        return true;
    }
}
