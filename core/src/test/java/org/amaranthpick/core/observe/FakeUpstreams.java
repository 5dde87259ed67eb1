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

/** Upstream client that replies with the status that a test sets. */
final class FakeUpstreams implements UpstreamClient {
    private final Map<Identity, UpstreamStatus> mStatus = new HashMap<>();
    private final Set<Identity> mUnresponsive = new HashSet<>();
    private final List<Subscription> mSubscriptions = new ArrayList<>();

    /** Subscription to the cache events of an engine; {@code after} is the last known sequence. */
    record Subscription(Identity upstream, long after, CacheEventListener listener) {}

    void set(
            UpstreamSpec spec,
            int runningStreams,
            long queuedTokens,
            boolean leaving,
            long eventSequence) {
        mStatus.put(
                spec.id(),
                new UpstreamStatus(
                        "boot-1",
                        0,
                        leaving,
                        spec.initialHoldings(),
                        runningStreams,
                        queuedTokens,
                        1L << 30,
                        Optional.empty(),
                        eventSequence));
    }

    void setUnresponsive(Identity upstream, boolean unresponsive) {
        if (unresponsive) {
            mUnresponsive.add(upstream);
        } else {
            mUnresponsive.remove(upstream);
        }
    }

    List<Subscription> subscriptions() {
        return mSubscriptions;
    }

    void deliver(CacheEvent event) {
        mSubscriptions.get(mSubscriptions.size() - 1).listener().onEvent(event);
    }

    @Override
    public CompletionStage<Optional<UpstreamStatus>> status(UpstreamSpec upstream) {
        Optional<UpstreamStatus> status =
                mUnresponsive.contains(upstream.id())
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
        throw new UnsupportedOperationException("not used by the observe package");
    }

    @Override
    public CompletionStage<ServiceReply> call(UpstreamSpec upstream, ServiceCall call) {
        throw new UnsupportedOperationException("not used by the observe package");
    }

    @Override
    public CompletionStage<OrderReply> order(UpstreamSpec upstream, UpstreamOrder order) {
        throw new UnsupportedOperationException("not used by the observe package");
    }

    @Override
    public void close() {}
}
