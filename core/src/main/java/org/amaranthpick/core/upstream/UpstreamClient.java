package org.amaranthpick.core.upstream;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.UpstreamSpec;

/** Speaks one dialect to upstreams. Thread-safe; never blocks. */
public interface UpstreamClient extends AutoCloseable {
    /**
     * Starts an attempt at the first stage of its chain.
     *
     * @param configuration configuration that gives the stages' addresses
     * @param call the attempt
     * @param listener told of the stream
     * @return handle of the stream
     */
    UpstreamStream generate(Configuration configuration, GenerateCall call, TokenListener listener);

    /**
     * Calls a plain service once, without a retry.
     *
     * @param upstream service instance
     * @param call the call
     * @return reply; completes normally
     */
    CompletionStage<ServiceReply> call(UpstreamSpec upstream, ServiceCall call);

    /**
     * Reads the state of an upstream.
     *
     * @param upstream the upstream
     * @return state, empty if it did not answer; completes normally
     */
    CompletionStage<Optional<UpstreamStatus>> status(UpstreamSpec upstream);

    /**
     * Gives an order to an engine.
     *
     * @param upstream the engine
     * @param order the order
     * @return reply; completes normally
     */
    CompletionStage<OrderReply> order(UpstreamSpec upstream, UpstreamOrder order);

    /**
     * Subscribes to the cache events of an engine. The subscription may go silent for good.
     *
     * @param upstream the engine
     * @param afterSequence events after this number are told, as far as the engine still has them
     * @param listener told of events
     * @return handle that ends the subscription
     */
    AutoCloseable cacheEvents(
            UpstreamSpec upstream, long afterSequence, CacheEventListener listener);

    @Override
    void close();
}
