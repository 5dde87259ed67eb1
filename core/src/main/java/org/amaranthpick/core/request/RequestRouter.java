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

/** Router that runs each request as its own state machine. */
public final class RequestRouter implements Router {
    private final RouterParts mParts;
    private final RequestSettings mSettings;
    private final FrameCounters mFrames = new FrameCounters();
    private final Set<Exchange> mInProgress = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mSettling = new AtomicInteger();
    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();
    private final ExchangeOwner mOwner = new Owner();
    private volatile boolean mLeaving;

    /**
     * Creates a router that takes requests at once.
     *
     * @param parts what it decides and acts with
     * @param settings timeouts and bounds
     */
    public RequestRouter(RouterParts parts, RequestSettings settings) {
        mParts = parts;
        mSettings = settings;
    }

    @Override
    public RequestHandle submit(CallerRequest request, AnswerSink sink) {
        Optional<ModelVersionSpec> model =
                request.configuration().modelVersion(request.pipeline().modelVersion());
        if (model.isEmpty()) {
            String name = request.pipeline().modelVersion().qualifiedName();
            refuse(request.requestId(), sink, Outcomes.unknownModel(name));
            return new EndedHandle();
        }
        ModelExchange exchange = new ModelExchange(mOwner, request, model.get(), sink);
        if (!enter(exchange)) {
            refuse(request.requestId(), sink, Outcomes.leaving(mSettings.retryAfter()));
            return new EndedHandle();
        }
        exchange.start();
        return exchange;
    }

    @Override
    public RequestHandle submit(ServiceRequest request, ServiceSink sink) {
        ServiceExchange exchange = new ServiceExchange(mOwner, request, sink);
        if (!enter(exchange)) {
            Outcome.NotRun outcome = Outcomes.leaving(mSettings.retryAfter());
            recordRefusal(request.call().requestId(), outcome);
            sink.onFailed(outcome);
            return new EndedHandle();
        }
        exchange.start();
        return exchange;
    }

    @Override
    public int inProgress() {
        return mInProgress.size();
    }

    /**
     * Returns the counters of token frames.
     *
     * @return counters since the process started
     */
    public FrameCounters frames() {
        return mFrames;
    }

    /**
     * Refuses new requests as not run and lets those in progress end.
     *
     * @return completes when no request is in progress and no claim waits to be settled
     */
    public CompletionStage<Void> drain() {
        mLeaving = true;
        completeIfDrained();
        return mDrained;
    }

    /**
     * Ends every request in progress with its true outcome, one log line each.
     *
     * @param reason why, told to the callers
     */
    public void interruptAll(String reason) {
        mLeaving = true;
        for (Exchange exchange : List.copyOf(mInProgress)) {
            exchange.interrupt(reason);
        }
        completeIfDrained();
    }

    private boolean enter(Exchange exchange) {
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
        mParts.decisions().record(DecisionKind.OUTCOME, requestId, text);
    }

    private void completeIfDrained() {
        if (mLeaving && mInProgress.isEmpty() && mSettling.get() == 0) {
            mDrained.complete(null);
        }
    }

    /** The router as its exchanges see it. */
    private final class Owner implements ExchangeOwner {
        @Override
        public RouterParts parts() {
            return mParts;
        }

        @Override
        public RequestSettings settings() {
            return mSettings;
        }

        @Override
        public FrameCounters frames() {
            return mFrames;
        }

        @Override
        public void onEnded(Exchange exchange) {
            mInProgress.remove(exchange);
            completeIfDrained();
        }

        @Override
        public void settle(CompletionStage<Void> settled) {
            mSettling.incrementAndGet();
            var unused =
                    settled.whenComplete(
                            (done, error) -> {
                                mSettling.decrementAndGet();
                                completeIfDrained();
                            });
        }
    }

    /** Handle of a request that has its outcome. */
    private static final class EndedHandle implements RequestHandle {
        @Override
        public void pause() {}

        @Override
        public void resume() {}

        @Override
        public void cancel() {}
    }
}
