package org.amaranthpick.core.observe;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.upstream.CacheEvent;
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

/** Upstreams that answer with the status set by the test. */
final class FakeUpstreams implements UpstreamClient {
    private final Map<Identity, UpstreamStatus> mStatus = new HashMap<>();
    private final Set<Identity> mSilent = new HashSet<>();
    private final List<Subscription> mSubscriptions = new ArrayList<>();

    /** Subscription to the cache events of an engine. */
    record Subscription(Identity upstream, long after, CacheEventListener listener) {}

    void set(UpstreamSpec spec, int streams, long queued, boolean leaving, long events) {
        mStatus.put(
                spec.id(),
                new UpstreamStatus(
                        "boot-1",
                        0,
                        leaving,
                        spec.initial(),
                        streams,
                        queued,
                        1L << 30,
                        Optional.empty(),
                        events));
    }

    void silence(Identity upstream, boolean silent) {
        if (silent) {
            mSilent.add(upstream);
        } else {
            mSilent.remove(upstream);
        }
    }

    List<Subscription> subscriptions() {
        return mSubscriptions;
    }

    void tell(CacheEvent event) {
        mSubscriptions.get(mSubscriptions.size() - 1).listener().onEvent(event);
    }

    @Override
    public CompletionStage<Optional<UpstreamStatus>> status(UpstreamSpec upstream) {
        Optional<UpstreamStatus> status =
                mSilent.contains(upstream.id())
                        ? Optional.empty()
                        : Optional.ofNullable(mStatus.get(upstream.id()));
        return CompletableFuture.completedFuture(status);
    }

    @Override
    public AutoCloseable cacheEvents(
            UpstreamSpec upstream, long afterSequence, CacheEventListener listener) {
        mSubscriptions.add(new Subscription(upstream.id(), afterSequence, listener));
        return () -> {};
    }

    @Override
    public UpstreamStream generate(
            Configuration configuration, GenerateCall call, TokenListener listener) {
        throw new UnsupportedOperationException("not part of observation");
    }

    @Override
    public CompletionStage<ServiceReply> call(UpstreamSpec upstream, ServiceCall call) {
        throw new UnsupportedOperationException("not part of observation");
    }

    @Override
    public CompletionStage<OrderReply> order(UpstreamSpec upstream, UpstreamOrder order) {
        throw new UnsupportedOperationException("not part of observation");
    }

    @Override
    public void close() {}
}
