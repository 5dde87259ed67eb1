package org.amaranthpick.core.request;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.admit.AdmissionDecision;
import org.amaranthpick.core.admit.AdmissionRequest;
import org.amaranthpick.core.admit.Permit;
import org.amaranthpick.core.claim.ClaimAnswer;
import org.amaranthpick.core.claim.ClaimResult;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.SerialQueue;

/**
 * State machine of one request: admission, key claim, attempts with retries, outcome. State changes
 * run on the request's event queue; {@link RequestHandle}'s methods on any thread.
 */
abstract class Exchange implements RequestHandle {
    private static final String DISCONNECTED = "the caller disconnected";

    private final RouterDependencies mDependencies;
    private final RequestSettings mSettings;
    private final ExchangeContext mContext;
    private final RequestMetadata mMetadata;
    private final SerialQueue mQueue;
    private final KeyClaim mClaim;
    private final AttemptHistory mHistory = new AttemptHistory();
    private final Set<Identity> mExcludedUpstreams = new HashSet<>(1);
    private RequestPhase mPhase = new RequestPhase.Created();
    private int mFailedAttempts;
    private Duration mCapacityWait = Duration.ZERO;
    private Cancellable mAdmissionRequest = () -> {};
    private Cancellable mDeadlineTimer = () -> {};
    private Optional<Permit> mPermit = Optional.empty();
    private boolean mCallerDisconnected;

    Exchange(ExchangeContext context, RequestMetadata metadata) {
        mDependencies = context.dependencies();
        mSettings = context.settings();
        mContext = context;
        mMetadata = metadata;
        mClaim = new KeyClaim(context, metadata);
        mQueue = new SerialQueue(this::onEventFailure);
    }

    /**
     * Returns the request for admission.
     *
     * @return workspace, resource and estimated tokens of the request
     */
    abstract AdmissionRequest admissionRequest();

    /**
     * Returns the digest that detects a reuse of the idempotency key with another body.
     *
     * @return digest of the request
     */
    abstract String bodyDigest();

    /** Starts the next attempt. */
    abstract void startAttempt();

    /** Stops the attempt in progress, if any; events that it still sends are ignored. */
    abstract void stopAttempt();

    /**
     * Delivers the outcome to the caller.
     *
     * @param outcome the outcome
     */
    abstract void deliver(Outcome outcome);

    /**
     * Delivers the outcome to a caller that disconnected; the request continues without it.
     *
     * @param outcome outcome for the caller
     */
    abstract void detachCaller(Outcome outcome);

    /**
     * Delivers the stored answer of an earlier request with the same idempotency key.
     *
     * @param answer stored answer
     */
    abstract void deliverStored(ClaimAnswer answer);

    /**
     * Returns the answer to store for repeats of the idempotency key.
     *
     * @return answer, empty if it is incomplete or too long to store
     */
    abstract Optional<ClaimAnswer> storableAnswer();

    /**
     * Returns the tokens to charge for the request.
     *
     * @return number of prompt and answer tokens
     */
    abstract int tokensUsed();

    /**
     * Returns the tokens already emitted to the caller.
     *
     * @return number of tokens
     */
    abstract int tokensEmitted();

    /** Starts processing the request. */
    final void start() {
        mQueue.post(this::requestAdmission);
    }

    @Override
    public void cancel() {
        mQueue.post(this::onCallerDisconnected);
    }

    /**
     * Ends the request because this host shuts down.
     *
     * @param reason message for the caller
     */
    final void interrupt(String reason) {
        mQueue.post(
                () ->
                        giveUp(
                                RefusalReason.LEAVING,
                                reason,
                                Optional.of(mSettings.defaultRetryAfter())));
    }

    final RouterDependencies dependencies() {
        return mDependencies;
    }

    final RequestSettings settings() {
        return mSettings;
    }

    final FrameCounters frameCounters() {
        return mContext.frameCounters();
    }

    final CrashingPrompts crashingPrompts() {
        return mContext.crashingPrompts();
    }

    final RequestMetadata metadata() {
        return mMetadata;
    }

    final AttemptHistory history() {
        return mHistory;
    }

    final Set<Identity> excluded() {
        return mExcludedUpstreams;
    }

    final boolean isRunning() {
        return mPhase instanceof RequestPhase.Running;
    }

    final boolean hasEnded() {
        return mPhase instanceof RequestPhase.Ended;
    }

    /**
     * Returns whether another attempt may follow one that may have run.
     *
     * @return true if the request is idempotent
     */
    final boolean isIdempotent() {
        return mMetadata.idempotent();
    }

    final void post(Runnable event) {
        mQueue.post(event);
    }

    final void record(DecisionKind kind, String text) {
        mDependencies.decisionLog().record(kind, mMetadata.requestId(), text);
    }

    final Optional<Duration> timeLeft() {
        Instant now = mDependencies.scheduler().instant();
        return mMetadata.deadline().map(deadline -> Duration.between(now, deadline));
    }

    /**
     * Adds an attempt to the history.
     *
     * @return number of the attempt, 1 or more
     */
    final int beginAttempt() {
        mDependencies
                .invariants()
                .check(
                        Invariant.AT_MOST_ONCE,
                        isIdempotent() || !mHistory.mayHaveRun(),
                        "%s starts another attempt after %s",
                        mMetadata.requestId(),
                        mHistory);
        return mHistory.addAttempt();
    }

    /**
     * Schedules another attempt after a failed attempt or a missing chain, or ends the request.
     *
     * @param reason observed failure
     * @param retryAfter delay that the upstream asked for, if any
     * @param giveUpAs refusal reason if the request ends and did not run
     */
    final void retryOrGiveUp(String reason, Optional<Duration> retryAfter, RefusalReason giveUpAs) {
        if (!isIdempotent() && mHistory.mayHaveRun()) {
            record(DecisionKind.RETRY, "none: the request is not idempotent and may have run");
            giveUp(giveUpAs, reason, Optional.empty());
            return;
        }
        int attempt = ++mFailedAttempts;
        Optional<Duration> wait =
                mDependencies.retryPolicy().nextBackoff(mMetadata.requestId(), attempt, timeLeft());
        if (wait.isEmpty() || deadlineIsWithin(wait.get())) {
            record(
                    DecisionKind.RETRY,
                    "none after attempt " + attempt + ": retry budget or deadline exhausted");
            giveUp(
                    giveUpAs,
                    reason,
                    retryAfter.or(() -> Optional.of(mSettings.defaultRetryAfter())));
            return;
        }
        record(DecisionKind.RETRY, "next attempt in " + wait.get().toMillis() + " ms: " + reason);
        backOff(wait.get());
    }

    /**
     * Schedules a new chain search; uses no retry budget, since nothing is sent to an upstream.
     *
     * @param reason why no chain is available
     * @return false if the maximum wait is used up or the deadline would pass first
     */
    final boolean waitForCapacity(String reason) {
        Duration wait = mSettings.capacityRecheckInterval();
        boolean mayWait = mCapacityWait.plus(wait).compareTo(mSettings.maxCapacityWait()) <= 0;
        if (!mayWait || deadlineIsWithin(wait)) {
            return false;
        }
        if (mCapacityWait.isZero()) {
            record(
                    DecisionKind.RETRY,
                    "waits up to "
                            + mSettings.maxCapacityWait().toSeconds()
                            + " s for capacity: "
                            + reason);
        }
        mCapacityWait = mCapacityWait.plus(wait);
        backOff(wait);
        return true;
    }

    /**
     * Ends the request incomplete: as interrupted if it may have run, else as not run.
     *
     * @param reason refusal reason if it did not run
     * @param message failure for the caller
     * @param retryAfter delay after which a retry may succeed, if known
     */
    final void giveUp(RefusalReason reason, String message, Optional<Duration> retryAfter) {
        if (hasEnded()) {
            return;
        }
        stopAttempt();
        if (mHistory.mayHaveRun()) {
            finish(Outcomes.interrupted(message, isIdempotent(), tokensEmitted()));
        } else {
            finish(Outcomes.notRun(reason, message, retryAfter));
        }
    }

    /**
     * Delivers the outcome and releases the resources of the request.
     *
     * @param outcome the outcome
     */
    final void finish(Outcome outcome) {
        if (!tryEnd(outcome)) {
            return;
        }
        mClaim.settle(outcome, this::storableAnswer);
        record(DecisionKind.OUTCOME, Outcomes.describe(outcome));
        try {
            deliver(outcome);
        } finally {
            mContext.onExchangeEnded(this);
        }
    }

    /**
     * Ends the request, unless it holds the claim of its idempotency key and may have run: then it
     * continues without the caller, so that a repeat with the key gets its answer.
     */
    private void onCallerDisconnected() {
        if (!hasEnded() && mClaim.isHeld() && mHistory.mayHaveRun() && !mCallerDisconnected) {
            mCallerDisconnected = true;
            record(
                    DecisionKind.OUTCOME,
                    "the caller disconnected; the request continues for its key");
            detachCaller(Outcomes.interrupted(DISCONNECTED, isIdempotent(), tokensEmitted()));
            return;
        }
        giveUp(RefusalReason.CANCELLED, DISCONNECTED, Optional.empty());
    }

    private void requestAdmission() {
        mDependencies.retryPolicy().onRequest();
        timeLeft().ifPresent(this::scheduleDeadline);
        mPhase = new RequestPhase.Admitting();
        mAdmissionRequest =
                mDependencies
                        .admission()
                        .request(admissionRequest(), decision -> post(() -> onAdmission(decision)));
    }

    private void scheduleDeadline(Duration left) {
        mDeadlineTimer = mDependencies.scheduler().schedule(left, () -> post(this::onDeadline));
    }

    private void onDeadline() {
        giveUp(RefusalReason.DEADLINE_UNREACHABLE, "the deadline passed", Optional.empty());
    }

    private void onAdmission(AdmissionDecision decision) {
        if (decision instanceof AdmissionDecision.Admitted admitted) {
            onAdmitted(admitted.permit());
        } else if (decision instanceof AdmissionDecision.Refused refused && !hasEnded()) {
            record(DecisionKind.ADMISSION, "refused: " + refused.message());
            finish(Outcomes.notRun(refused.reason(), refused.message(), refused.retryAfter()));
        }
    }

    private void onAdmitted(Permit permit) {
        if (!(mPhase instanceof RequestPhase.Admitting)) {
            permit.close();
            return;
        }
        mPermit = Optional.of(permit);
        record(DecisionKind.ADMISSION, "admitted");
        if (!mClaim.isNeeded()) {
            startNextAttempt();
            return;
        }
        mPhase = new RequestPhase.Claiming();
        mClaim.request(bodyDigest(), result -> post(() -> onClaim(result)));
    }

    private void onClaim(ClaimResult result) {
        if (result instanceof ClaimResult.Granted granted && hasEnded()) {
            mClaim.releaseUnused(granted.ticket());
        } else if (hasEnded()) {
            return;
        } else if (result instanceof ClaimResult.Granted granted) {
            mClaim.onGranted(granted.ticket());
            record(DecisionKind.CLAIM, "granted");
            startNextAttempt();
        } else if (result instanceof ClaimResult.Completed kept) {
            record(
                    DecisionKind.CLAIM,
                    "not granted: an earlier request with this key was answered");
            finishReplayed(kept.answer());
        } else {
            record(DecisionKind.CLAIM, "not granted: " + result);
            finish(Outcomes.claimRefused(result, mSettings.defaultRetryAfter()));
        }
    }

    private void finishReplayed(ClaimAnswer answer) {
        if (!tryEnd(new Outcome.Replayed("", ""))) {
            return;
        }
        record(DecisionKind.OUTCOME, "stored answer of an earlier request");
        try {
            deliverStored(answer);
        } finally {
            mContext.onExchangeEnded(this);
        }
    }

    private void backOff(Duration wait) {
        mPhase =
                new RequestPhase.BackingOff(
                        mDependencies.scheduler().schedule(wait, () -> post(this::onBackOffEnd)));
    }

    private void onBackOffEnd() {
        if (mPhase instanceof RequestPhase.BackingOff) {
            startNextAttempt();
        }
    }

    private void startNextAttempt() {
        mPhase = new RequestPhase.Running();
        startAttempt();
    }

    private boolean deadlineIsWithin(Duration wait) {
        return timeLeft().map(left -> left.compareTo(wait) <= 0).orElse(false);
    }

    private boolean tryEnd(Outcome outcome) {
        String id = mMetadata.requestId();
        if (!mDependencies
                .invariants()
                .check(Invariant.ONE_OUTCOME, !hasEnded(), "%s already has an outcome", id)) {
            return false;
        }
        mDependencies
                .invariants()
                .check(
                        Invariant.NOT_RUN_IS_TRUE,
                        !(outcome instanceof Outcome.NotRun) || !mHistory.mayHaveRun(),
                        "%s is reported as not run after %s",
                        id,
                        mHistory);
        if (mPhase instanceof RequestPhase.BackingOff backingOff) {
            backingOff.timer().cancel();
        }
        mPhase = new RequestPhase.Ended();
        mAdmissionRequest.cancel();
        mDeadlineTimer.cancel();
        mPermit.ifPresent(this::closePermit);
        return true;
    }

    private void closePermit(Permit permit) {
        permit.setUsedTokens(tokensUsed());
        permit.close();
    }

    private void onEventFailure(Throwable e) {
        String message = "internal error: " + e;
        post(() -> giveUp(RefusalReason.UPSTREAM_REFUSED, message, Optional.empty()));
    }
}
