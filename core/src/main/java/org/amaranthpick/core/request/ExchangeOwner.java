package org.amaranthpick.core.request;

import java.util.concurrent.CompletionStage;

/** What an exchange needs of its router. */
interface ExchangeOwner {
    /**
     * Returns what the router decides and acts with.
     *
     * @return parts
     */
    RouterParts parts();

    /**
     * Returns the timeouts and bounds.
     *
     * @return settings
     */
    RequestSettings settings();

    /**
     * Returns the counters of frames.
     *
     * @return counters of all requests
     */
    FrameCounters frames();

    /**
     * Told that an exchange has its outcome.
     *
     * @param exchange the exchange
     */
    void onEnded(Exchange exchange);

    /**
     * Keeps count of a claim being settled, so that a drain waits for it.
     *
     * @param settled completes when the claim is settled
     */
    void settle(CompletionStage<Void> settled);
}
