package org.amaranthpick.core.room;

import java.util.OptionalDouble;
import org.amaranthpick.core.layers.EngineChain;

/** Room that the chains of a model have left. Confined to one thread. */
@FunctionalInterface
public interface RoomView {
    /**
     * Returns how full a chain is: the part of the KV cache memory that is taken at its fullest
     * engine, including what this daemon has sent since the engine was observed.
     *
     * @param chain the chain
     * @param nowNs monotonic time
     * @return fraction, above 1 if requests wait at an engine; empty if it is not known, or if what
     *     is known is too old
     */
    OptionalDouble fill(EngineChain chain, long nowNs);

    /**
     * Returns a view that knows nothing.
     *
     * @return view
     */
    static RoomView unknown() {
        return (chain, nowNs) -> OptionalDouble.empty();
    }
}
