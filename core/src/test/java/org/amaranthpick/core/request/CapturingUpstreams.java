package org.amaranthpick.core.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.core.upstream.CacheEventListener;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.core.upstream.OrderReply;
import org.amaranthpick.core.upstream.ServiceCall;
import org.amaranthpick.core.upstream.ServiceReply;
import org.amaranthpick.core.upstream.TokenListener;
import org.amaranthpick.core.upstream.UpstreamClient;
import org.amaranthpick.core.upstream.UpstreamOrder;
import org.amaranthpick.core.upstream.UpstreamStatus;
import org.amaranthpick.core.upstream.UpstreamStream;

/** Upstream client that passes the call and listener of its only attempt to the test. */
final class CapturingUpstreams implements UpstreamClient {
    private final FakeUpstreams mDelegate;
    private final CompletableFuture<GenerateCall> mCall;
    private final CompletableFuture<TokenListener> mListener;

    CapturingUpstreams(
            VirtualScheduler time,
            CompletableFuture<GenerateCall> call,
            CompletableFuture<TokenListener> listener) {
        mDelegate = new FakeUpstreams(time);
        mCall = call;
        mListener = listener;
    }

    @Override
    public UpstreamStream generate(
            Configuration configuration, GenerateCall call, TokenListener listener) {
        mCall.complete(call);
        mListener.complete(listener);
        return new UpstreamStream() {
            @Override
            public void pause() {}

            @Override
            public void resume() {}

            @Override
            public void cancel() {}
        };
    }

    @Override
    public CompletionStage<ServiceReply> call(UpstreamSpec upstream, ServiceCall call) {
        return mDelegate.call(upstream, call);
    }

    @Override
    public CompletionStage<Optional<UpstreamStatus>> status(UpstreamSpec upstream) {
        return mDelegate.status(upstream);
    }

    @Override
    public CompletionStage<OrderReply> order(UpstreamSpec upstream, UpstreamOrder order) {
        return mDelegate.order(upstream, order);
    }

    @Override
    public AutoCloseable cacheEvents(
            UpstreamSpec upstream, long afterSequence, CacheEventListener listener) {
        return mDelegate.cacheEvents(upstream, afterSequence, listener);
    }

    @Override
    public void close() {}
}
