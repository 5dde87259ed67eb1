package org.amaranthpick.standins;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Links between engine stand-ins of one process, over which stages pass activations directly. */
public final class EngineFabric {
    private final Map<String, EngineStandIn> mByUrl = new ConcurrentHashMap<>();

    /** Creates a fabric without engines. */
    public EngineFabric() {}

    /** Adds an engine under its present address. */
    void join(EngineStandIn engine) {
        mByUrl.put(engine.address().toString(), engine);
    }

    /** Finds the engine at an address, reachable or not. */
    Optional<EngineStandIn> at(String url) {
        return Optional.ofNullable(mByUrl.get(url));
    }
}
