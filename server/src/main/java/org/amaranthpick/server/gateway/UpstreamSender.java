package org.amaranthpick.server.gateway;

import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.server.http.OutgoingRequest;
import org.amaranthpick.server.http.ResponseListener;

/** Sends queries to upstreams, over whatever path there is. */
@FunctionalInterface
public interface UpstreamSender {
    /**
     * Sends a query, which may reach the upstream twice. It ends as not sent with a fault of the
     * upstream only if another daemon does not reach the upstream either, or there is none.
     *
     * @param upstream upstream to query
     * @param request the query, addressed to the upstream
     * @param listener told of the call, perhaps before this method returns
     */
    void send(UpstreamEntry upstream, OutgoingRequest request, ResponseListener listener);
}
