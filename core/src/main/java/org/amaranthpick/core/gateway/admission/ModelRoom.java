package org.amaranthpick.core.gateway.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.amaranthpick.core.layers.EngineChain;
import org.amaranthpick.core.room.RoomView;

/**
 * Room of a model, as far as this daemon knows.
 *
 * @param fill how full the emptiest chain is, see {@link RoomView#fill}
 * @param chainTokens memory of that chain, in tokens
 * @param totalTokens memory of all chains, in tokens
 * @param freeTokens part of it that is free
 * @param closedFor time for which nothing is to be sent whatever the chains' fill is, since most
 *     engines are lost; empty if it may
 */
public record ModelRoom(
        double fill,
        double chainTokens,
        double totalTokens,
        double freeTokens,
        Optional<Duration> closedFor) {
    /**
     * Adds up the room of chains. One whose fill is unknown counts as empty: an engine that has
     * just come back has not been observed yet, and one that is hardly used is not reported.
     *
     * @param chains chains that can be used
     * @param view room of each
     * @param nowNs monotonic time
     * @return room; empty if the fill of no chain is known
     */
    public static Optional<ModelRoom> of(List<EngineChain> chains, RoomView view, long nowNs) {
        double totalTokens = 0;
        boolean known = false;
        double freeTokens = 0;
        double bestFill = Double.MAX_VALUE;
        double bestTokens = 0;
        for (EngineChain chain : chains) {
            double tokens = Math.max(1, chain.kvCapacityTokens());
            totalTokens += tokens;
            OptionalDouble fill = view.fill(chain, nowNs);
            known |= fill.isPresent();
            freeTokens += tokens * Math.max(0, 1 - fill.orElse(0));
            if (fill.orElse(0) < bestFill) {
                bestFill = fill.orElse(0);
                bestTokens = tokens;
            }
        }
        return known
                ? Optional.of(
                        new ModelRoom(
                                bestFill, bestTokens, totalTokens, freeTokens, Optional.empty()))
                : Optional.empty();
    }

    /**
     * Returns the same room, closed for a time.
     *
     * @param time time for which nothing is to be sent
     * @return room
     */
    public ModelRoom closed(Duration time) {
        return new ModelRoom(fill, chainTokens, totalTokens, freeTokens, Optional.of(time));
    }
}
