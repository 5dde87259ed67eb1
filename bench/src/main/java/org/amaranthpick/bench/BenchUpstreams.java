package org.amaranthpick.bench;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.UpstreamSpec;
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

/** Upstreams that only generate, as a given function does. */
final class BenchUpstreams implements UpstreamClient {
    private final BiFunction<GenerateCall, TokenListener, UpstreamStream> mGenerate;

    BenchUpstreams(BiFunction<GenerateCall, TokenListener, UpstreamStream> generate) {
        mGenerate = generate;
    }

    @Override
    public UpstreamStream generate(
            Configuration configuration, GenerateCall call, TokenListener listener) {
        return mGenerate.apply(call, listener);
    }

    @Override
    public CompletionStage<ServiceReply> call(UpstreamSpec upstream, ServiceCall call) {
        return CompletableFuture.completedFuture(new ServiceReply.NotSent("none"));
    }

    @Override
    public CompletionStage<Optional<UpstreamStatus>> status(UpstreamSpec upstream) {
        return CompletableFuture.completedFuture(Optional.empty());
    }

    @Override
    public CompletionStage<OrderReply> order(UpstreamSpec upstream, UpstreamOrder order) {
        return CompletableFuture.completedFuture(new OrderReply.Unknown("none"));
    }

    @Override
    public AutoCloseable cacheEvents(
            UpstreamSpec upstream, long afterSequence, CacheEventListener listener) {
        return () -> {};
    }

    @Override
    public void close() {}

    /** Stream without control. */
    static final class NoStream implements UpstreamStream {
        @Override
        public void pause() {}

        @Override
        public void resume() {}

        @Override
        public void cancel() {}
    }
}
