package org.amaranthpick.core.gateway.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Requests that wait for room, bounded in number and memory. Those whose refusal costs most go
 * first; among those that cost about the same, that of the workspace which got least of late, so
 * that one workspace with many requests doesn't delay the others.
 */
final class WaitingRequests {
    private static final int MAX_REQUESTS = 128;
    private static final long MAX_BYTES = 8 << 20;
    private static final double HALF_LIFE_NS = 5e9;

    /** Bounds the memory for workspaces. */
    private static final int MAX_WORKSPACES = 512;

    private final List<AdmissionTicket> mTickets = new ArrayList<>();
    private final Map<String, Double> mSentTokens = new HashMap<>();
    private long mBytes;
    private long mDecayedNs;

    boolean isEmpty() {
        return mTickets.isEmpty();
    }

    List<AdmissionTicket> all() {
        return List.copyOf(mTickets);
    }

    void add(AdmissionTicket ticket) {
        mTickets.add(ticket);
        mBytes += ticket.candidate().bodyBytes();
    }

    void remove(AdmissionTicket ticket) {
        if (mTickets.remove(ticket)) {
            mBytes -= ticket.candidate().bodyBytes();
        }
    }

    /** Counts the work of a request that is sent against its workspace. */
    void onSent(AdmissionCandidate candidate, long nowNs) {
        double factor = Math.pow(0.5, (nowNs - mDecayedNs) / HALF_LIFE_NS);
        mDecayedNs = nowNs;
        mSentTokens.replaceAll((workspace, tokens) -> tokens * factor);
        mSentTokens.values().removeIf(tokens -> tokens < 1);
        if (mSentTokens.size() < MAX_WORKSPACES) {
            mSentTokens.merge(workspace(candidate), candidate.work().tokens(), Double::sum);
        }
    }

    /** Returns the requests in the order in which they are to be sent. */
    List<AdmissionTicket> ordered(ToDoubleFunction<AdmissionTicket> cost) {
        Map<AdmissionTicket, Double> costs = new HashMap<>();
        mTickets.forEach(ticket -> costs.put(ticket, cost.applyAsDouble(ticket)));
        Comparator<AdmissionTicket> byLevel =
                Comparator.comparingInt(ticket -> -RefusalCost.level(costs.get(ticket)));
        return mTickets.stream()
                .sorted(
                        byLevel.thenComparingDouble(
                                        ticket ->
                                                mSentTokens.getOrDefault(
                                                        workspace(ticket.candidate()), 0.0))
                                .thenComparingDouble(ticket -> -costs.get(ticket))
                                .thenComparingLong(AdmissionTicket::sequence))
                .toList();
    }

    /**
     * Returns the request that has to make room: of those that cost least, the newest one of the
     * workspace with most requests.
     *
     * @param cost cost of refusing a request
     * @return request; empty while the bounds are kept
     */
    Optional<AdmissionTicket> excess(ToDoubleFunction<AdmissionTicket> cost) {
        if (mTickets.size() <= MAX_REQUESTS && mBytes <= MAX_BYTES) {
            return Optional.empty();
        }
        Map<String, Integer> counts = new HashMap<>();
        mTickets.forEach(ticket -> counts.merge(workspace(ticket.candidate()), 1, Integer::sum));
        Comparator<AdmissionTicket> byLevel =
                Comparator.comparingInt(ticket -> RefusalCost.level(cost.applyAsDouble(ticket)));
        return mTickets.stream()
                .min(
                        byLevel.thenComparingInt(
                                        ticket -> -counts.get(workspace(ticket.candidate())))
                                .thenComparingLong(ticket -> -ticket.sequence()));
    }

    private static String workspace(AdmissionCandidate candidate) {
        return candidate.workspace().orElse("");
    }
}
