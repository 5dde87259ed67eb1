package org.amaranthpick.core.request;

import java.util.concurrent.CompletionStage;

/** Services of the router that an exchange uses. */
interface ExchangeContext {
    /**
     * Returns the collaborators of the router.
     *
     * @return dependencies
     */
    RouterDependencies dependencies();

    /**
     * Returns the timeouts and limits of the request path.
     *
     * @return settings
     */
    RequestSettings settings();

    /**
     * Returns the counters of token frames.
     *
     * @return counters shared by all requests
     */
    FrameCounters frameCounters();

    /**
     * Returns the prompts that are not sent since stages were lost under them.
     *
     * @return prompts, shared by all requests
     */
    CrashingPrompts crashingPrompts();

    /**
     * Removes an exchange whose outcome was delivered from the requests in progress.
     *
     * @param exchange the exchange
     */
    void onExchangeEnded(Exchange exchange);

    /**
     * Registers the settlement of a claim, so that a drain waits for it.
     *
     * @param settled completes when the settlement has ended
     */
    void trackSettlement(CompletionStage<Void> settled);
}
