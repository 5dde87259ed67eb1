package org.amaranthpick.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.time.Scheduler;

/**
 * Spreads the quarantine of prompts among the daemons. What is news to a daemon, it passes on to a
 * few random others at once. If its own answers contradict a report, it sends the sender its own.
 * While parts are in quarantine, each daemon also sends them to a random other one at intervals,
 * which reaches daemons that were cut off or missed by chance; a daemon that starts asks for them.
 * Confined to one thread.
 */
public final class QuarantineGossip {
    /** Number of daemons that news is passed on to. */
    static final int FAN_OUT = 4;

    /** Time for which news is collected into one message. */
    private static final Duration BATCHING_DELAY = Duration.ofMillis(20);

    private static final Duration EXCHANGE_PERIOD = Duration.ofMillis(500);
    private static final int MAX_REPORTS_PER_MESSAGE = 100;

    private final String mAddress;
    private final PromptQuarantine mQuarantine;
    private final Supplier<List<String>> mPeers;
    private final Sender mSender;
    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final Set<String> mPendingParts = new LinkedHashSet<>();
    private boolean mExchanging;

    /** Sends messages to other daemons, without waiting and without a promise that they arrive. */
    @FunctionalInterface
    public interface Sender {
        /**
         * Sends a message.
         *
         * @param peerAddress address of the other daemon
         * @param message the message
         */
        void send(String peerAddress, QuarantineMessage message);
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
        quarantine.setListener(report -> pass(report.part()));
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
        long nowNs = mScheduler.monotonicNs();
        List<PartReport> contradicted = new ArrayList<>();
        for (PartReport report : message.reports()) {
            PromptQuarantine.MergeResult result = mQuarantine.merge(report, nowNs);
            if (result == PromptQuarantine.MergeResult.NEWS) {
                pass(report.part());
            } else if (result == PromptQuarantine.MergeResult.CONTRADICTED) {
                contradicted.add(mQuarantine.report(report.part(), nowNs));
            }
        }
        if (!message.sender().isEmpty()) {
            if (!contradicted.isEmpty()) {
                mSender.send(
                        message.sender(), new QuarantineMessage(mAddress, false, contradicted));
            }
            if (message.wantsReply()) {
                sendQuarantined(message.sender());
            }
        }
        startExchange();
    }

    private void pass(String part) {
        if (mPendingParts.isEmpty()) {
            mScheduler.schedule(BATCHING_DELAY, this::sendPending);
        }
        if (mPendingParts.size() < MAX_REPORTS_PER_MESSAGE) {
            mPendingParts.add(part);
        }
        startExchange();
    }

    private void sendPending() {
        long nowNs = mScheduler.monotonicNs();
        List<PartReport> reports =
                mPendingParts.stream().map(part -> mQuarantine.report(part, nowNs)).toList();
        mPendingParts.clear();
        sendToSome(new QuarantineMessage(mAddress, false, reports));
    }

    private void sendToSome(QuarantineMessage message) {
        List<String> peers = new ArrayList<>(mPeers.get());
        for (int i = 0; i < FAN_OUT && !peers.isEmpty(); i++) {
            mSender.send(peers.remove(mRandom.nextInt(peers.size())), message);
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
        List<String> peers = mPeers.get();
        if (!peers.isEmpty()) {
            sendQuarantined(peers.get(mRandom.nextInt(peers.size())));
        }
        startExchange();
    }

    private void sendQuarantined(String peerAddress) {
        List<PartReport> reports =
                mQuarantine.quarantined(mScheduler.monotonicNs()).stream()
                        .limit(MAX_REPORTS_PER_MESSAGE)
                        .toList();
        if (!reports.isEmpty()) {
            mSender.send(peerAddress, new QuarantineMessage(mAddress, false, reports));
        }
    }
}
