package org.amaranthpick.core.request;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.manifest.ModelVersionSpec;

/** Router that runs each request as a state machine of its own. */
public final class RequestRouter implements Router {
    private final RouterDependencies mDependencies;
    private final RequestSettings mSettings;
    private final CrashingPrompts mCrashingPrompts;
    private final FrameCounters mFrames = new FrameCounters();
    private final Set<Exchange> mInProgress = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mSettlingClaims = new AtomicInteger();
    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();
    private final ExchangeContext mContext = new Context();
    private volatile boolean mLeaving;

    /**
     * Creates a router that accepts requests immediately.
     *
     * @param dependencies collaborators of the router
     * @param settings timeouts and limits
     */
    public RequestRouter(RouterDependencies dependencies, RequestSettings settings) {
        mDependencies = dependencies;
        mSettings = settings;
        mCrashingPrompts = new CrashingPrompts(dependencies.scheduler());
    }

    @Override
    public RequestHandle submit(ModelRequest request, AnswerSink sink) {
        Optional<ModelVersionSpec> model =
                request.configuration().modelVersion(request.pipeline().modelVersion());
        if (model.isEmpty()) {
            String name = request.pipeline().modelVersion().qualifiedName();
            refuse(request.requestId(), sink, Outcomes.unknownModel(name));
            return new EndedHandle();
        }
        ModelExchange exchange = new ModelExchange(mContext, request, model.get(), sink);
        if (!register(exchange)) {
            refuse(request.requestId(), sink, Outcomes.leaving(mSettings.defaultRetryAfter()));
            return new EndedHandle();
        }
        exchange.start();
        return exchange;
    }

    @Override
    public RequestHandle submit(ServiceRequest request, ServiceSink sink) {
        ServiceExchange exchange = new ServiceExchange(mContext, request, sink);
        if (!register(exchange)) {
            Outcome.NotRun outcome = Outcomes.leaving(mSettings.defaultRetryAfter());
            recordRefusal(request.call().requestId(), outcome);
            sink.onFailed(outcome);
            return new EndedHandle();
        }
        exchange.start();
        return exchange;
    }

    @Override
    public int requestsInProgress() {
        return mInProgress.size();
    }

    /**
     * Returns the counters of token frames.
     *
     * @return counters since the process started
     */
    public FrameCounters frameCounters() {
        return mFrames;
    }

    /**
     * Refuses new requests as not run and lets the requests in progress complete.
     *
     * @return completes when no request is in progress and all claims are settled
     */
    public CompletionStage<Void> drain() {
        mLeaving = true;
        completeIfDrained();
        return mDrained;
    }

    /**
     * Ends every request in progress, as interrupted if it may have run, else as not run. Logs one
     * outcome per request.
     *
     * @param reason message for the callers
     */
    public void interruptAll(String reason) {
        mLeaving = true;
        for (Exchange exchange : List.copyOf(mInProgress)) {
            exchange.interrupt(reason);
        }
        completeIfDrained();
    }

    private boolean register(Exchange exchange) {
        mInProgress.add(exchange);
        if (!mLeaving) {
            return true;
        }
        mInProgress.remove(exchange);
        completeIfDrained();
        return false;
    }

    private void refuse(String requestId, AnswerSink sink, Outcome.NotRun outcome) {
        recordRefusal(requestId, outcome);
        sink.onOutcome(outcome);
    }

    private void recordRefusal(String requestId, Outcome.NotRun outcome) {
        String text = "not run, " + outcome.reason().label() + ": " + outcome.message();
        mDependencies.decisionLog().record(DecisionKind.OUTCOME, requestId, text);
    }

    private void completeIfDrained() {
        if (mLeaving && mInProgress.isEmpty() && mSettlingClaims.get() == 0) {
            mDrained.complete(null);
        }
    }

    /** Services of this router for its exchanges. */
    private final class Context implements ExchangeContext {
        @Override
        public RouterDependencies dependencies() {
            return mDependencies;
        }

        @Override
        public RequestSettings settings() {
            return mSettings;
        }

        @Override
        public FrameCounters frameCounters() {
            return mFrames;
        }

        @Override
        public CrashingPrompts crashingPrompts() {
            return mCrashingPrompts;
        }

        @Override
        public void onExchangeEnded(Exchange exchange) {
            mInProgress.remove(exchange);
            completeIfDrained();
        }

        @Override
        public void trackSettlement(CompletionStage<Void> settled) {
            mSettlingClaims.incrementAndGet();
            var unused =
                    settled.whenComplete(
                            (done, error) -> {
                                mSettlingClaims.decrementAndGet();
                                completeIfDrained();
                            });
        }
    }

    /** Handle of a request that has already ended. */
    private static final class EndedHandle implements RequestHandle {
        @Override
        public void pause() {}

        @Override
        public void resume() {}

        @Override
        public void cancel() {}
    }
}
