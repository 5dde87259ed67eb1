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

/** Life of one service call. */
final class ServiceExchange extends Exchange {
    private static final String CONTENT_TYPE = "content-type";
    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

    private final ServiceRequest mRequest;
    private ServiceSink mSink;
    private Optional<ServiceReply.Answered> mReply = Optional.empty();
    private Cancellable mTimer = () -> {};
    private int mAttempt;

    ServiceExchange(ExchangeOwner owner, ServiceRequest request, ServiceSink sink) {
        super(owner, ExchangeTerms.of(request));
        mRequest = request;
        mSink = sink;
    }

    @Override
    public void pause() {
        // The answer comes in one piece.
    }

    @Override
    public void resume() {
        // The answer comes in one piece.
    }

    @Override
    AdmissionRequest admissionRequest() {
        return new AdmissionRequest(
                terms().requestId(),
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
                parts().instances()
                        .choose(mRequest.configuration(), mRequest.service(), excluded());
        if (instance.isEmpty()) {
            record(DecisionKind.CHAIN, "no instance of the service can take the call");
            excluded().clear();
            retryOrGiveUp("no instance is usable", Optional.empty(), RefusalReason.NO_CAPACITY);
            return;
        }
        record(DecisionKind.CHAIN, "instance " + instance.get().id().qualifiedName());
        call(instance.get());
    }

    @Override
    void stopAttempt() {
        if (mAttempt > 0 && history().get(mAttempt) == AttemptHistory.Fate.STARTED) {
            endAttempt(AttemptHistory.Fate.LOST);
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
        mSink = new NoCaller();
        caller.onFailed(outcome);
    }

    @Override
    void deliverKept(ClaimAnswer answer) {
        byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
        Map<String, String> headers = Map.of(CONTENT_TYPE, answer.contentType());
        mSink.onAnswered(new ServiceReply.Answered(answer.status(), headers, body), true);
    }

    @Override
    Optional<ClaimAnswer> answerToKeep() {
        return mReply.filter(reply -> reply.body().length <= settings().maxKeptAnswerBytes())
                .flatMap(ServiceExchange::toKeep);
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
        mAttempt = attempt;
        record(DecisionKind.ATTEMPT, "attempt " + attempt + " starts");
        Duration limit = settings().serviceTimeout();
        mTimer =
                parts().scheduler().schedule(limit, () -> post(() -> onSilence(attempt, instance)));
        var unused =
                parts().upstreams()
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
            endAttempt(AttemptHistory.Fate.FINISHED);
            finish(new Outcome.Answered("status " + answered.status(), 0, 0));
        } else if (reply instanceof ServiceReply.NotSent notSent) {
            endAttempt(AttemptHistory.Fate.NOT_SENT);
            failed(instance, "not sent: " + notSent.reason());
        } else {
            endAttempt(AttemptHistory.Fate.LOST);
            failed(instance, error == null ? reply.toString() : error.toString());
        }
    }

    private void onSilence(int attempt, UpstreamSpec instance) {
        if (isCurrent(attempt)) {
            endAttempt(AttemptHistory.Fate.LOST);
            failed(instance, "no answer in time");
        }
    }

    private void failed(UpstreamSpec instance, String reason) {
        parts().feedback().onFailure(instance.id(), reason);
        excluded().add(instance.id());
        retryOrGiveUp(
                "instance " + instance.id() + " failed: " + reason,
                Optional.empty(),
                RefusalReason.UPSTREAM_REFUSED);
    }

    private boolean isCurrent(int attempt) {
        return isRunning()
                && attempt == mAttempt
                && history().get(attempt) == AttemptHistory.Fate.STARTED;
    }

    private void endAttempt(AttemptHistory.Fate fate) {
        mTimer.cancel();
        history().set(mAttempt, fate);
        record(DecisionKind.ATTEMPT, "attempt " + mAttempt + " ended: " + fate);
    }

    private static Optional<ClaimAnswer> toKeep(ServiceReply.Answered reply) {
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

    /** Stands in for a caller that went away. */
    private static final class NoCaller implements ServiceSink {
        @Override
        public void onAnswered(ServiceReply.Answered reply, boolean replayed) {}

        @Override
        public void onFailed(Outcome outcome) {}
    }
}
