package org.amaranthpick.core.request;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.admit.AdmissionRequest;
import org.amaranthpick.core.claim.ClaimAnswer;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.upstream.ServiceReply;

/** State machine of one service call. */
final class ServiceExchange extends Exchange {
    private static final String CONTENT_TYPE = "content-type";
    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

    private final ServiceRequest mRequest;
    private ServiceSink mSink;
    private Optional<ServiceReply.Answered> mReply = Optional.empty();
    private Cancellable mTimeoutTimer = () -> {};
    private int mAttemptNumber;

    ServiceExchange(ExchangeContext context, ServiceRequest request, ServiceSink sink) {
        super(context, RequestMetadata.of(request));
        mRequest = request;
        mSink = sink;
    }

    @Override
    public void pause() {
        // The answer is delivered as a whole.
    }

    @Override
    public void resume() {
        // The answer is delivered as a whole.
    }

    @Override
    AdmissionRequest admissionRequest() {
        return new AdmissionRequest(
                metadata().requestId(),
                mRequest.workspace(),
                mRequest.service().id().key(),
                0,
                mRequest.priority(),
                mRequest.deadline());
    }

    @Override
    String bodyDigest() {
        return BodyDigest.of(mRequest);
    }

    @Override
    void startAttempt() {
        Optional<UpstreamSpec> instance =
                dependencies()
                        .instanceChooser()
                        .choose(mRequest.configuration(), mRequest.service(), excluded());
        if (instance.isEmpty()) {
            record(DecisionKind.CHAIN, "none: no instance of the service is available");
            excluded().clear();
            retryOrGiveUp(
                    "no instance of the service is available",
                    Optional.empty(),
                    RefusalReason.NO_CAPACITY);
            return;
        }
        record(DecisionKind.CHAIN, "instance " + instance.get().id().qualifiedName());
        call(instance.get());
    }

    @Override
    void stopAttempt() {
        if (mAttemptNumber > 0 && history().state(mAttemptNumber) == AttemptHistory.State.STARTED) {
            endAttempt(AttemptHistory.State.LOST);
        }
    }

    @Override
    void deliver(Outcome outcome) {
        if (mReply.isPresent()) {
            mSink.onAnswered(mReply.get(), false);
        } else {
            mSink.onFailed(outcome);
        }
    }

    @Override
    void detachCaller(Outcome outcome) {
        ServiceSink caller = mSink;
        mSink = new DiscardingSink();
        caller.onFailed(outcome);
    }

    @Override
    void deliverStored(ClaimAnswer answer) {
        byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
        Map<String, String> headers = Map.of(CONTENT_TYPE, answer.contentType());
        mSink.onAnswered(new ServiceReply.Answered(answer.status(), headers, body), true);
    }

    @Override
    Optional<ClaimAnswer> storableAnswer() {
        return mReply.filter(reply -> reply.body().length <= settings().maxStoredAnswerBytes())
                .flatMap(ServiceExchange::toClaimAnswer);
    }

    @Override
    int tokensUsed() {
        return 0;
    }

    @Override
    int tokensEmitted() {
        return 0;
    }

    private void call(UpstreamSpec instance) {
        int attempt = beginAttempt();
        mAttemptNumber = attempt;
        record(DecisionKind.ATTEMPT, "attempt " + attempt + " starts");
        Duration timeout = settings().serviceTimeout();
        mTimeoutTimer =
                dependencies()
                        .scheduler()
                        .schedule(timeout, () -> post(() -> onTimeout(attempt, instance)));
        var unused =
                dependencies()
                        .upstreamClient()
                        .call(instance, mRequest.call())
                        .whenComplete(
                                (reply, error) ->
                                        post(() -> onReply(attempt, instance, reply, error)));
    }

    private void onReply(int attempt, UpstreamSpec instance, ServiceReply reply, Throwable error) {
        if (!isCurrent(attempt)) {
            return;
        }
        if (reply instanceof ServiceReply.Answered answered) {
            mReply = Optional.of(answered);
            endAttempt(AttemptHistory.State.FINISHED);
            finish(new Outcome.Answered("status " + answered.status(), 0, 0));
        } else if (reply instanceof ServiceReply.NotSent notSent) {
            endAttempt(AttemptHistory.State.NOT_SENT);
            retryWithout(instance, "not sent: " + notSent.reason());
        } else {
            endAttempt(AttemptHistory.State.LOST);
            retryWithout(instance, error == null ? reply.toString() : error.toString());
        }
    }

    private void onTimeout(int attempt, UpstreamSpec instance) {
        if (isCurrent(attempt)) {
            endAttempt(AttemptHistory.State.LOST);
            retryWithout(instance, "no reply within the timeout");
        }
    }

    private void retryWithout(UpstreamSpec instance, String reason) {
        dependencies().chainFeedback().onFailure(instance.id(), reason);
        excluded().add(instance.id());
        retryOrGiveUp(
                "instance " + instance.id() + " failed: " + reason,
                Optional.empty(),
                RefusalReason.UPSTREAM_REFUSED);
    }

    private boolean isCurrent(int attempt) {
        return isRunning()
                && attempt == mAttemptNumber
                && history().state(attempt) == AttemptHistory.State.STARTED;
    }

    private void endAttempt(AttemptHistory.State state) {
        mTimeoutTimer.cancel();
        history().setState(mAttemptNumber, state);
        record(DecisionKind.ATTEMPT, "attempt " + mAttemptNumber + " ended: " + state);
    }

    private static Optional<ClaimAnswer> toClaimAnswer(ServiceReply.Answered reply) {
        try {
            String body =
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(reply.body()))
                            .toString();
            return Optional.of(new ClaimAnswer(reply.status(), contentType(reply), body));
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }

    private static String contentType(ServiceReply.Answered reply) {
        return reply.headers().entrySet().stream()
                .filter(h -> h.getKey().toLowerCase(Locale.ROOT).equals(CONTENT_TYPE))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(DEFAULT_CONTENT_TYPE);
    }

    /** Replaces the sink of a caller that disconnected. */
    private static final class DiscardingSink implements ServiceSink {
        @Override
        public void onAnswered(ServiceReply.Answered reply, boolean replayed) {}

        @Override
        public void onFailed(Outcome outcome) {}
    }
}
