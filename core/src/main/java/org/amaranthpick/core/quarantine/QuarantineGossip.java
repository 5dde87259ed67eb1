package org.amaranthpick.core.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.TaskGuard;

/**
 * Spreads the quarantine of prompts among the daemons. What is news to a daemon, it passes on to a
 * few random others at once. If its own answers contradict a report, it sends the sender its own.
 * While parts are in quarantine, each daemon also sends them to a random other one at intervals,
 * which reaches daemons that were cut off or missed by chance; a daemon that starts asks for them.
 *
 * <p>Each crash ends many requests, nearly all of them sound. What is known of a request that has
 * met one crash therefore goes to a few daemons only, the same ones for all of its repeats as far
 * as they can be reached. Confined to one thread.
 */
public final class QuarantineGossip {
    private static final String TASK = "quarantine gossip";

    /** Number of daemons that news is passed on to. */
    static final int FAN_OUT = 4;

    /** Time for which news is collected into one message. */
    private static final Duration BATCHING_DELAY = Duration.ofMillis(20);

    /** Time for which another daemon takes the place of one that could not be reached. */
    private static final Duration UNREACHABLE_DURATION = Duration.ofSeconds(10);

    /** Daemons that are tried in place of one that cannot be reached. */
    private static final int MAX_REPLACEMENTS = 3;

    /**
     * Sends that fail in a row, with nothing received meanwhile, until all others count as lost.
     */
    private static final int FAILURES_OF_ISOLATION = FAN_OUT + MAX_REPLACEMENTS;

    private static final Duration EXCHANGE_PERIOD = Duration.ofMillis(500);
    private static final int MAX_REPORTS_PER_MESSAGE = 100;

    private final String mAddress;
    private final PromptQuarantine mQuarantine;
    private final Supplier<List<String>> mPeers;
    private final Sender mSender;
    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final TaskGuard mGuard;
    private final Set<String> mPendingParts = new LinkedHashSet<>();
    private final Map<String, Set<String>> mPendingRequests = new LinkedHashMap<>();
    private final Map<String, Long> mUnreachableUntilNs = new HashMap<>();
    private Optional<QuarantineRecords> mRecords = Optional.empty();
    private boolean mExchanging;
    private int mFailuresInARow;

    /** Sends messages to other daemons, without waiting and without a promise that they arrive. */
    @FunctionalInterface
    public interface Sender {
        /**
         * Sends a message.
         *
         * @param peerAddress address of the other daemon
         * @param message the message
         * @param onFailed runs later if the message was not received
         */
        void send(String peerAddress, QuarantineMessage message, Runnable onFailed);
    }

    /**
     * Creates the gossip of a daemon and registers it as the listener of its observations.
     *
     * @param address address at which this daemon accepts messages, empty string if it accepts none
     * @param quarantine quarantine of this daemon; updated by what others report
     * @param peers returns the addresses of the other daemons
     * @param sender sends messages
     * @param scheduler clock and timers
     * @param random source of the choice of peers
     */
    public QuarantineGossip(
            String address,
            PromptQuarantine quarantine,
            Supplier<List<String>> peers,
            Sender sender,
            Scheduler scheduler,
            RandomGenerator random) {
        mAddress = address;
        mQuarantine = quarantine;
        mPeers = peers;
        mSender = sender;
        mScheduler = scheduler;
        mRandom = random;
        mGuard = new TaskGuard(scheduler);
        quarantine.setListener(
                (report, concernsAll) -> {
                    mRecords.ifPresent(records -> records.onObservation(report));
                    if (concernsAll) {
                        pass(report.part());
                    } else {
                        passToCollectors(report.part());
                    }
                });
    }

    /**
     * Sets the records in the store that this daemon's observations go to.
     *
     * @param records the records
     */
    public void setRecords(QuarantineRecords records) {
        mRecords = Optional.of(records);
    }

    /** Asks some of the other daemons for the parts in quarantine. */
    public void requestAll() {
        sendToSome(new QuarantineMessage(mAddress, true, List.of()));
    }

    /**
     * Handles a message: takes in what is news, passes it on, and replies if it was asked for.
     *
     * @param message the message
     */
    public void onMessage(QuarantineMessage message) {
        mFailuresInARow = 0;
        mQuarantine.setIsolated(false);
        long nowNs = mScheduler.monotonicNs();
        List<PartReport> contradicted = new ArrayList<>();
        for (PartReport report : message.reports()) {
            MergeResult result = mQuarantine.merge(report, nowNs);
            if (result == MergeResult.NEWS) {
                pass(report.part());
            } else if (result == MergeResult.CONTRADICTED) {
                contradicted.add(mQuarantine.report(report.part(), nowNs));
            }
        }
        if (!message.sender().isEmpty()) {
            if (!contradicted.isEmpty()) {
                mSender.send(
                        message.sender(),
                        new QuarantineMessage(mAddress, false, contradicted),
                        () -> {});
            }
            if (message.wantsReply()) {
                sendQuarantined(message.sender());
            }
        }
        startExchange();
    }

    /** Passes a request on to the daemons that collect what is known of it. */
    private void passToCollectors(String part) {
        scheduleSending();
        for (String peer : collectors(part)) {
            if (!peer.equals(mAddress)) {
                Set<String> parts =
                        mPendingRequests.computeIfAbsent(peer, key -> new LinkedHashSet<>());
                if (parts.size() < MAX_REPORTS_PER_MESSAGE) {
                    parts.add(part);
                }
            }
        }
    }

    private List<String> collectors(String part) {
        return reachable(Stream.concat(Stream.of(mAddress), mPeers.get().stream()))
                .distinct()
                .sorted(
                        Comparator.comparingLong((String peer) -> score(part, peer))
                                .thenComparing(Comparator.naturalOrder()))
                .limit(FAN_OUT)
                .toList();
    }

    private static long score(String part, String peer) {
        return Hashing.komihash5_0().hashStream().putString(part).putString(peer).getAsLong();
    }

    private void scheduleSending() {
        if (mPendingParts.isEmpty() && mPendingRequests.isEmpty()) {
            mScheduler.schedule(BATCHING_DELAY, this::sendPending);
        }
    }

    private void pass(String part) {
        scheduleSending();
        if (mPendingParts.size() < MAX_REPORTS_PER_MESSAGE) {
            mPendingParts.add(part);
        }
        startExchange();
    }

    private void sendPending() {
        Set<String> pendingParts = new LinkedHashSet<>(mPendingParts);
        Map<String, Set<String>> pendingRequests = new LinkedHashMap<>(mPendingRequests);
        mPendingParts.clear();
        mPendingRequests.clear();
        if (!pendingParts.isEmpty()) {
            mGuard.run(TASK, () -> sendToSome(message(pendingParts)));
        }
        pendingRequests.forEach(
                (peer, parts) ->
                        mGuard.run(
                                TASK,
                                () ->
                                        mSender.send(
                                                peer,
                                                message(parts),
                                                () -> onUnreachable(peer, parts))));
    }

    /** Passes requests on to the daemons that take the place of one that cannot be reached. */
    private void onUnreachable(String peer, Set<String> parts) {
        markUnreachable(peer);
        parts.forEach(this::passToCollectors);
    }

    private QuarantineMessage message(Set<String> parts) {
        long nowNs = mScheduler.monotonicNs();
        return new QuarantineMessage(
                mAddress,
                false,
                parts.stream().map(part -> mQuarantine.report(part, nowNs)).toList());
    }

    private void sendToSome(QuarantineMessage message) {
        for (String peer : randomPeers(FAN_OUT)) {
            sendOrReplace(peer, message, MAX_REPLACEMENTS);
        }
    }

    /** Sends a message to a daemon, or to another one if that cannot be reached. */
    private void sendOrReplace(String peer, QuarantineMessage message, int replacements) {
        mSender.send(
                peer,
                message,
                () -> {
                    markUnreachable(peer);
                    if (replacements > 0) {
                        randomPeers(1)
                                .forEach(other -> sendOrReplace(other, message, replacements - 1));
                    }
                });
    }

    private List<String> randomPeers(int count) {
        List<String> peers = reachable(mPeers.get().stream()).collect(Collectors.toList());
        List<String> chosen = new ArrayList<>();
        while (chosen.size() < count && !peers.isEmpty()) {
            chosen.add(peers.remove(mRandom.nextInt(peers.size())));
        }
        return chosen;
    }

    private Stream<String> reachable(Stream<String> peers) {
        long nowNs = mScheduler.monotonicNs();
        mUnreachableUntilNs.values().removeIf(untilNs -> nowNs >= untilNs);
        return peers.filter(peer -> !mUnreachableUntilNs.containsKey(peer));
    }

    private void markUnreachable(String peer) {
        mUnreachableUntilNs.put(peer, mScheduler.monotonicNs() + UNREACHABLE_DURATION.toNanos());
        mFailuresInARow++;
        if (mFailuresInARow >= FAILURES_OF_ISOLATION) {
            mQuarantine.setIsolated(true);
        }
    }

    private void startExchange() {
        if (!mExchanging && !mQuarantine.quarantined(mScheduler.monotonicNs()).isEmpty()) {
            mExchanging = true;
            mScheduler.schedule(EXCHANGE_PERIOD, this::exchange);
        }
    }

    private void exchange() {
        mExchanging = false;
        mGuard.run(TASK, () -> randomPeers(1).forEach(this::sendQuarantined), this::startExchange);
    }

    private void sendQuarantined(String peerAddress) {
        List<PartReport> reports =
                mQuarantine.quarantined(mScheduler.monotonicNs()).stream()
                        .limit(MAX_REPORTS_PER_MESSAGE)
                        .toList();
        if (!reports.isEmpty()) {
            mSender.send(
                    peerAddress,
                    new QuarantineMessage(mAddress, false, reports),
                    () -> markUnreachable(peerAddress));
        }
    }
}
