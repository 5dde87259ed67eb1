package org.amaranthpick.core.layers;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthpick.core.manifest.LayerRange;

/** Logs which layers no engine holds or loads, as the holder of the lease sees it. */
final class MissingLayersLog {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final long NS_PER_MS = 1_000_000;

    private final Map<String, Gap> mGaps = new HashMap<>();

    private record Gap(long sinceNs, String layers, int orders) {}

    /**
     * Records the result of one plan.
     *
     * @param service name of the service
     * @param missing layers that no engine holds or loads before the orders of the plan
     * @param loads loads in progress
     * @param orders orders that are sent now
     * @param nowNs monotonic time
     */
    void onPlanned(String service, List<LayerRange> missing, int loads, int orders, long nowNs) {
        Gap known = mGaps.get(service);
        if (missing.isEmpty()) {
            if (known != null) {
                sLogger.atInfo().log(
                        "layers: service=%s missing=none loads=%d outage_ms=%d",
                        service, loads, (nowNs - known.sinceNs()) / NS_PER_MS);
                mGaps.remove(service);
            }
            return;
        }
        String layers = LayerGaps.describe(missing);
        if (known == null || !known.layers().equals(layers) || known.orders() != orders) {
            long sinceNs = known == null ? nowNs : known.sinceNs();
            mGaps.put(service, new Gap(sinceNs, layers, orders));
            sLogger.atInfo().log(
                    "layers: service=%s missing=%s loads=%d orders=%d for_ms=%d",
                    service, layers, loads, orders, (nowNs - sinceNs) / NS_PER_MS);
        }
    }

    /** Forgets the gaps, as another daemon may repair them. */
    void clear() {
        mGaps.clear();
    }
}
