package org.amaranthpick.core.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.layers.LayerGaps;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * Logs from when to when this daemon knows no chain for a model, and which layers no usable engine
 * holds. Confined to one thread.
 */
final class ChainOutages {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final long NS_PER_MS = 1_000_000;

    private final Map<String, Outage> mOutages = new HashMap<>();

    private record Outage(long sinceNs, String missing) {}

    /**
     * Records the result of a search.
     *
     * @param service name of the service
     * @param model its model
     * @param chains number of chains found
     * @param usable engines that could be used
     * @param nowNs monotonic time
     */
    void onSearched(
            String service,
            EngineModel model,
            int chains,
            Collection<UpstreamEntry> usable,
            long nowNs) {
        Optional<Outage> outage = Optional.ofNullable(mOutages.get(service));
        if (chains > 0) {
            outage.ifPresent(
                    ended ->
                            sLogger.atInfo().log(
                                    "chains: service=%s available=%d outage_ms=%d",
                                    service, chains, (nowNs - ended.sinceNs()) / NS_PER_MS));
            mOutages.remove(service);
            return;
        }
        String missing = LayerGaps.describe(LayerGaps.find(usable, model.layers()));
        if (outage.filter(known -> known.missing().equals(missing)).isEmpty()) {
            long sinceNs = outage.map(Outage::sinceNs).orElse(nowNs);
            mOutages.put(service, new Outage(sinceNs, missing));
            sLogger.atWarning().log(
                    "chains: service=%s available=0 missing_layers=%s usable_engines=%d for_ms=%d",
                    service, missing, usable.size(), (nowNs - sinceNs) / NS_PER_MS);
        }
    }
}
