package org.amaranthpick.core.upstream;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.UpstreamSpec;

/** Client for upstreams of one protocol. Thread-safe and non-blocking. */
public interface UpstreamClient extends AutoCloseable {
    /**
     * Starts an attempt at the first stage of its chain.
     *
     * @param configuration configuration with the addresses of the stages
     * @param call the attempt
     * @param listener receives the stream
     * @return handle of the stream
     */
    UpstreamStream generate(Configuration configuration, GenerateCall call, TokenListener listener);

    /**
     * Calls a service once, without retries.
     *
     * @param upstream service instance
     * @param call the call
     * @return reply; never completes exceptionally
     */
    CompletionStage<ServiceReply> call(UpstreamSpec upstream, ServiceCall call);

    /**
     * Reads the status of an upstream.
     *
     * @param upstream the upstream
     * @return status, empty if the upstream did not answer; never completes exceptionally
     */
    CompletionStage<Optional<UpstreamStatus>> status(UpstreamSpec upstream);

    /**
     * Sends an order to an engine.
     *
     * @param upstream the engine
     * @param order the order
     * @return reply; never completes exceptionally
     */
    CompletionStage<OrderReply> order(UpstreamSpec upstream, UpstreamOrder order);

    /**
     * Subscribes to the cache events of an engine. Events may stop without a call to {@link
     * CacheEventListener#onEnded}.
     *
     * @param upstream the engine
     * @param afterSequence sequence number after which events are delivered, as far as the engine
     *     still has them
     * @param listener receives the events
     * @return handle that ends the subscription
     */
    AutoCloseable cacheEvents(
            UpstreamSpec upstream, long afterSequence, CacheEventListener listener);

    @Override
    void close();
}
