package org.amaranthpick.core.register;

import java.util.Optional;
import org.amaranthpick.core.manifest.LayerRange;

/**
 * Upstream as it registered itself.
 *
 * @param id id of this incarnation
 * @param service name of its service
 * @param address IP address and port
 * @param domain failure domain of the upstream
 * @param leaving whether it accepts no new requests
 * @param slots maximum number of concurrent requests
 * @param card kind of its card, empty for plain services
 * @param layers layers that it holds, empty if none
 * @param startedAtMs start time, in Unix milliseconds
 * @param heartbeats heartbeats since its start when it wrote the entry
 */
public record UpstreamEntry(
        String id,
        String service,
        String address,
        String domain,
        boolean leaving,
        int slots,
        Optional<String> card,
        Optional<LayerRange> layers,
        long startedAtMs,
        long heartbeats) {
    /**
     * Checks whether this entry was written before another one of the upstream.
     *
     * @param other entry with the same id
     * @return whether it is of an earlier start, or of an earlier heartbeat of the same start
     */
    public boolean isOlderThan(UpstreamEntry other) {
        return startedAtMs == other.startedAtMs
                ? heartbeats < other.heartbeats
                : startedAtMs < other.startedAtMs;
    }

    /**
     * Returns a copy of this entry with other layers.
     *
     * @param newLayers layers that the upstream holds, empty if none
     * @return entry
     */
    public UpstreamEntry withLayers(Optional<LayerRange> newLayers) {
        return new UpstreamEntry(
                id,
                service,
                address,
                domain,
                leaving,
                slots,
                card,
                newLayers,
                startedAtMs,
                heartbeats);
    }
}
